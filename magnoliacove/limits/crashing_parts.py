"""Detection of the parts of prompts that crash the targets that run them.

A target that crashes as it begins to answer on a part of a prompt takes all
its other runs with it, so each of their parts may be the cause.  The cause
differs in two ways: it is in a young run at every crash, and no run with it
lasts.  One run that lasts clears all parts of its prompt.
"""

from collections import OrderedDict
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import random

import trio

from magnoliacove.limits.part_crashes import NO_PROOF
from magnoliacove.limits.part_crashes import FoundPart
from magnoliacove.limits.part_crashes import PartCrashes
from magnoliacove.limits.part_crashes import Proof
from magnoliacove.limits.part_crashes import SoundPart
from magnoliacove.limits.runs import CrashedRun
from magnoliacove.limits.unresponsive import UnresponsiveRuns

__all__ = ["PROVEN_AFTER", "PartHistory"]

# Seconds from a run's first event after which a further one shows that the
# parts of its prompt did not crash the target as it began to answer.
PROVEN_AFTER = 1.0
# Crashes, and requests that they come from, after which a part is the cause.
# One request fails at two targets by itself.
_MIN_CRASHES = 4
_MIN_REQUESTS = 3
# Crashes after which that holds although another part that was never cleared
# was at all of them but one: the next crashes mostly tell which one it is.
_MIN_AMBIGUOUS_CRASHES = 6
# Minimum seconds between the first and the last of these crashes: one power
# failure ends many targets at once, all engines of a path among them.
_MIN_SPAN = 0.3
# Crashes, requests and seconds since then for a part that was cleared within
# `_PROOF_RETENTION` seconds.  While targets crash in quick succession, hardly
# any run of a harmless part lasts; seconds later one has.
_MIN_CRASHES_AFTER_PROOF = 12
_MIN_REQUESTS_AFTER_PROOF = 8
_MIN_SECONDS_AFTER_PROOF = 5.0
_PROOF_RETENTION = 60.0
# Crashes, and requests that they come from, after which requests with a part
# are not sent on to another target.
_SUSPECT_CRASHES = 2
_SUSPECT_REQUESTS = 2
# Seconds after its last crash at which a part's history expires.
_RETENTION = 600.0
# Maximum numbers of parts with crashes, and of parts that were cleared.
_MAX_PARTS = 2048
_MAX_PROOFS = 4096
# Seconds by which the begin of one run may differ between reports of it.
_SAME_RUN = 0.1
# Maximum number of this gateway's crashes that are reported by turns.
_MAX_OWN = 512
# Seconds for which heartbeats report a crash, repeatedly since one may be
# lost, and for which a part that was cleared here is not reported as suspect.
_REPORTED_FOR = 10.0
# Maximum numbers of crashes and of cleared parts in one heartbeat.
_MAX_REPORTED = 8


class PartHistory:
    """Crashes of targets and the parts of prompts there, of all gateways.

    :param read_time: returns seconds.
    :param unresponsive: runs at unresponsive targets, of which it is not yet
        known whether the target crashed.
    """

    def __init__(
        self, read_time: Callable[[], float] = trio.current_time
    ) -> None:
        self.unresponsive = UnresponsiveRuns(read_time)
        self._read_time = read_time
        self._parts: OrderedDict[str, PartCrashes] = OrderedDict()
        self._proofs: OrderedDict[str, Proof] = OrderedDict()
        # By part and target, this gateway's recent crashes, and their times.
        self._own: OrderedDict[tuple[str, str], tuple[CrashedRun, float]] = (
            OrderedDict()
        )

    def note_crash(
        self, run: CrashedRun, *, age: float = 0.0, own: bool = True
    ) -> bool:
        """Record that a target ended during a run with a part.

        :param age: seconds since it ended.
        :param own: whether this gateway observed it; otherwise a peer did.
        :returns: whether that says something new about the part.
        """
        at = self._read_time() - age
        self.unresponsive.drop(run)
        if run.seconds >= PROVEN_AFTER:
            self.note_sound(run.fingerprint, age + run.seconds, own=own)
            return False
        if age >= _RETENTION:
            return False
        if at <= self._read_proof(run.fingerprint).began_at:
            return False
        part = self._parts.setdefault(run.fingerprint, PartCrashes())
        self._parts.move_to_end(run.fingerprint)
        if len(self._parts) > _MAX_PARTS:
            self._parts.popitem(last=False)
        if own:
            self._own[run.fingerprint, run.target] = run, at
            if len(self._own) > _MAX_OWN:
                self._own.popitem(last=False)
        return part.note(run, at)

    def note_sound(
        self, fingerprint: str, age: float, *, own: bool = True
    ) -> int:
        """Record that a run with a part lasted.

        :param age: seconds since the run began.
        :param own: whether it ran at this gateway; otherwise a peer's did.
        :returns: the number of crashes that do not count any more.
        """
        now = self._read_time()
        previous = self._read_proof(fingerprint)
        if now - age <= previous.began_at + _SAME_RUN:
            return 0
        self._put_proof(fingerprint, Proof(now - age, now, own))
        part = self._parts.get(fingerprint)
        return part.drop_until(now - age) if part is not None else 0

    def clear_crashes(self, fingerprint: str) -> None:
        """Stop counting a part's crashes, though no run with it lasted.

        Peers continue to report them for a while.
        """
        now = self._read_time()
        noted_at = self._read_proof(fingerprint).noted_at
        self._put_proof(fingerprint, Proof(now, noted_at, False))
        self._parts.pop(fingerprint, None)

    def find_cause(
        self, known: Iterable[str], explained: Mapping[int, Collection[str]]
    ) -> FoundPart | None:
        """Return the part that crashes most targets, None when there is none.

        Another cause is found once the peers have had time to report all runs
        at the first one's crashes, which it explains.

        :param known: causes that were found before.
        :param explained: by request in quarantine, the targets that crashed
            under it.  That speaks against its own parts all the same.
        """
        known_causes = set(known)
        known_crashes = list(
            filter(None, map(self.list_crashes, known_causes))
        )
        unexplained = {
            fingerprint: self._list_unexplained(fingerprint, known_crashes)
            - part.list_explained(explained)
            for fingerprint, part in self._parts.items()
            if fingerprint not in known_causes
            and len(part.crashes) >= _MIN_CRASHES - 1
        }
        causes = [
            f for f, ends in unexplained.items() if self._is_cause(f, ends)
        ]
        if not causes:
            return None
        best = max(causes, key=lambda f: self._rank(f, unexplained[f]))
        if self._is_ambiguous(best, unexplained):
            return None
        return FoundPart(best, len(unexplained[best]))

    def is_suspected(self, fingerprint: str) -> bool:
        """Return whether requests with a part should run only once."""
        return self._has_crashes(
            fingerprint, _SUSPECT_CRASHES, _SUSPECT_REQUESTS
        )

    def is_deferred(self, fingerprint: str) -> bool:
        """Return whether requests with a part wait for their targets' state.

        As many targets failed under them as make a cause, and some of them
        have been unresponsive since, so they may have crashed.
        """
        return bool(self.unresponsive.find(fingerprint)) and self._has_crashes(
            fingerprint, _MIN_CRASHES, _MIN_REQUESTS
        )

    def has_recent_crash(self, fingerprint: str) -> bool:
        """Return whether a target ended under a part since it was cleared.

        An unresponsive target counts as ended.
        """
        return self._has_crashes(fingerprint, 1, 1)

    def is_proven(self, fingerprint: str) -> bool:
        """Return whether a run of any gateway cleared a part lately."""
        noted_at = self._read_proof(fingerprint).noted_at
        return self._read_time() - noted_at < _PROOF_RETENTION

    def is_proven_here(self, fingerprint: str) -> bool:
        """Return whether a run of this gateway recently cleared a part."""
        proof = self._read_proof(fingerprint)
        return proof.own and self._read_time() - proof.noted_at < _REPORTED_FOR

    def list_crashes(self, fingerprint: str) -> frozenset[str]:
        """Return the targets that crashed under a part."""
        part = self._parts.get(fingerprint)
        return frozenset(part.crashes) if part is not None else frozenset()

    def read_last_crash(self, fingerprint: str) -> float:
        """Return the time of a part's last crash, 0 for none."""
        part = self._parts.get(fingerprint)
        return max(part.crashes.values(), default=0.0) if part else 0.0

    def forget_old(self) -> None:
        """Discard parts whose history has expired."""
        self.unresponsive.forget_old()
        limit = self._read_time() - _RETENTION
        for fingerprint, part in list(self._parts.items()):
            if part.last_at < limit:
                del self._parts[fingerprint]

    # Exchange with peers.

    def list_own(self) -> list[tuple[CrashedRun, float]]:
        """Return the crashes that this gateway recently observed, and ages.

        Parts with the most crashes come first, others in random order, so that
        each is reported in some heartbeat.
        """
        now = self._read_time()
        while self._own:
            oldest = next(iter(self._own))
            if now - self._own[oldest][1] < _REPORTED_FOR:
                break
            del self._own[oldest]
        suspects = [
            (run, at)
            for run, at in self._own.values()
            if self._counts(run) and not self.is_proven_here(run.fingerprint)
        ]
        random.shuffle(suspects)
        suspects.sort(
            key=lambda item: len(self._parts[item[0].fingerprint].crashes),
            reverse=True,
        )
        return [(run, now - at) for run, at in suspects[:_MAX_REPORTED]]

    def list_sound(self) -> list[SoundPart]:
        """Return the parts with recent crashes that this gateway cleared.

        Unresponsive targets count as crashed.
        """
        now = self._read_time()
        crashed = [
            fingerprint
            for fingerprint, part in self._parts.items()
            if now - part.last_at <= _REPORTED_FOR
        ]
        crashed += self.unresponsive.list_fingerprints()
        found = [*filter(self.is_proven_here, dict.fromkeys(crashed))]
        return [
            SoundPart(
                fingerprint, now - self._read_proof(fingerprint).began_at
            )
            for fingerprint in found[-_MAX_REPORTED:]
        ]

    # What speaks against a part.

    def _is_cause(self, fingerprint: str, crashes: frozenset[str]) -> bool:
        part = self._parts[fingerprint]
        min_crashes, min_requests = _MIN_CRASHES, _MIN_REQUESTS
        if self.is_proven(fingerprint):
            min_crashes = _MIN_CRASHES_AFTER_PROOF
            min_requests = _MIN_REQUESTS_AFTER_PROOF
        if len(crashes) < min_crashes or len(part.requests) < min_requests:
            return False
        proof = self._read_proof(fingerprint)
        if self._read_time() - proof.noted_at < _MIN_SECONDS_AFTER_PROOF:
            return False
        times = [part.crashes[target] for target in crashes]
        return max(times) - min(times) >= _MIN_SPAN

    def _is_ambiguous(
        self, fingerprint: str, unexplained: Mapping[str, frozenset[str]]
    ) -> bool:
        """Return whether another part may be the cause of the same crashes.

        Some of its runs may not have been reported yet.
        """
        crashes = unexplained[fingerprint]
        if len(crashes) >= _MIN_AMBIGUOUS_CRASHES:
            return False
        return any(
            len(crashes - other_crashes) <= 1 and not self.is_proven(other)
            for other, other_crashes in unexplained.items()
            if other != fingerprint
        )

    def _list_unexplained(
        self, fingerprint: str, known_crashes: Iterable[frozenset[str]]
    ) -> frozenset[str]:
        """Return the crashes of a part that no known cause explains.

        A known cause explains nothing to a part that was never cleared, at all
        its crashes and at more: of parts that travelled together, the other
        one is the cause.
        """
        crashes = self.list_crashes(fingerprint)
        proven = self.is_proven(fingerprint)
        return crashes.difference(
            *(
                explained
                for explained in known_crashes
                if proven or not explained < crashes
            )
        )

    def _rank(
        self, fingerprint: str, crashes: frozenset[str]
    ) -> tuple[int, int, str]:
        """Return a sort key, the same on all gateways for equal reports."""
        requests = len(self._parts[fingerprint].requests)
        return len(crashes), requests, fingerprint

    def _has_crashes(
        self, fingerprint: str, min_crashes: int, min_requests: int
    ) -> bool:
        """Return whether enough targets crashed under enough requests.

        Unresponsive targets count as crashed.  A part that was cleared within
        the last minute does not qualify.
        """
        part = self._parts.get(fingerprint, PartCrashes())
        silent = self.unresponsive.find(fingerprint)
        if not part.crashes and not silent:
            return False
        targets = {*part.crashes, *(run.target for run in silent)}
        requests = {*part.requests, *(run.attempt for run in silent)}
        return (
            len(targets) >= min_crashes
            and len(requests) >= min_requests
            and not self.is_proven(fingerprint)
        )

    def _counts(self, run: CrashedRun) -> bool:
        """Return whether a crash still counts against its part."""
        part = self._parts.get(run.fingerprint)
        return part is not None and run.target in part.crashes

    def _read_proof(self, fingerprint: str) -> Proof:
        return self._proofs.get(fingerprint, NO_PROOF)

    def _put_proof(self, fingerprint: str, proof: Proof) -> None:
        self._proofs[fingerprint] = proof
        self._proofs.move_to_end(fingerprint)
        if len(self._proofs) > _MAX_PROOFS:
            self._proofs.popitem(last=False)
