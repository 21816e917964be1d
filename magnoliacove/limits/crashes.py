"""Which requests end the targets that run them.

A target that ends takes everything that runs there with it, so each request
that was there may be the cause, and those that go on together at the next
target are there again when that one ends.  What tells the cause apart: it is
at every end, in attempt after attempt of its callers, it never comes to an
answer, and none of its runs goes on for longer than the others.
"""

from collections import OrderedDict
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
import math

import trio

from magnoliacove.limits.runs import CrashedRun
from magnoliacove.limits.silences import SilentRuns

__all__ = ["CrashHistory"]

# Ends of targets until a request is taken for their cause, for one that was
# never answered; each answer asks for as many more.  Two ends come about by
# chance where several targets are lost together, a third hardly does.
_LEAST_CRASHES = 3
# A request that was at the same ends as another one is taken for the cause
# only after so many more, and so many seconds after the third: the next ends
# mostly tell the two apart.  Callers and engines bear three more runs later
# than three seconds after it.
_SAME_CRASHES = 2
_SAME_SECONDS = 2.0
# Attempts of callers that the ends come from.  One attempt goes from target to
# target beside others; whoever travels with the cause is gone with its answer.
_LEAST_ATTEMPTS = 2
# Seconds by which runs that end their target may differ in length.  The cause
# ends it at the same step, sooner or later with what else runs there.
_LENGTHS_DIFFER = 1.0
# What is known of a request is forgotten so many seconds after its last end;
# its callers may pause for long.
_KEPT = 600.0
# Requests and ends of each that are remembered, and requests that were
# answered: some megabytes at most.
_MOST_REQUESTS = 1024
_MOST_CRASHES = 16
_MOST_ANSWERED = 4096
# An answer speaks for a request for so many seconds.  What was harmless may
# end targets once these, or what they hold, have changed.
_ANSWERS_COUNT = 60.0
# Ends are told to the others for so many seconds, again and again, as a
# heartbeat may be lost; and so many at a time, 35 bytes each.
_TOLD_FOR = 10.0
_MOST_TOLD = 16


@dataclass
class _Request:
    """What is known of one request.

    :param crashes: the run at each target that ended, and when it ended.
    :param longest: seconds of its longest run without an answer.
    :param last_at: when the last of its targets ended.
    :param settled: targets whose end does not count against it any more.
    """

    crashes: dict[str, tuple[CrashedRun, float]] = field(default_factory=dict)
    attempts: set[int] = field(default_factory=set)
    longest: float = 0.0
    last_at: float = 0.0
    settled: frozenset[str] = frozenset()

    def list_targets(self) -> set[str]:
        """Return the ended targets that its runs may have ended.

        A run that went on for longer shows that the request does not end a
        target so soon.
        """
        least = self.longest - _LENGTHS_DIFFER
        return {
            target
            for target, (run, _) in self.crashes.items()
            if run.seconds >= least
        }


class CrashHistory:
    """Targets that ended, and what ran there, of all gateways.

    :param read_time: returns seconds.
    :param silent: runs of which it is not known yet whether they ended their
        target.
    """

    def __init__(
        self, read_time: Callable[[], float] = trio.current_time
    ) -> None:
        self.silent = SilentRuns(read_time)
        self._read_time = read_time
        self._requests: OrderedDict[str, _Request] = OrderedDict()
        # How often each was answered, and when it was last.
        self._answered: OrderedDict[str, tuple[int, float]] = OrderedDict()
        self._others_answered: dict[str, Mapping[str, int]] = {}
        self._own: list[tuple[CrashedRun, float]] = []

    def note_crash(
        self, run: CrashedRun, *, age: float = 0.0, own: bool = True
    ) -> bool:
        """Take it that a target ended while a run was going on there.

        :param age: seconds since it ended.
        :param own: this gateway saw it; else a peer did.
        :returns: whether that was news.
        """
        at = self._read_time() - age
        self.silent.drop(run)
        if age >= _KEPT:
            return False
        known = self._requests.setdefault(run.fingerprint, _Request())
        self._requests.move_to_end(run.fingerprint)
        if len(self._requests) > _MOST_REQUESTS:
            self._requests.popitem(last=False)
        if run.target in known.crashes or run.target in known.settled:
            return False
        known.crashes[run.target] = run, at
        if len(known.crashes) > _MOST_CRASHES:
            del known.crashes[next(iter(known.crashes))]
        known.attempts.add(run.attempt)
        known.longest = max(known.longest, run.seconds)
        known.last_at = max(known.last_at, at)
        if own:
            self._own.append((run, at))
        return True

    def note_run(self, fingerprint: str, seconds: float) -> None:
        """Take it that a run went on for so long and did not end its target.

        :param seconds: since the run's first bytes.
        """
        known = self._requests.get(fingerprint)
        if known is not None:
            known.longest = max(known.longest, seconds)

    def note_answered(self, fingerprint: str) -> None:
        """Take it that a request was answered in full."""
        count = self._read_answered(fingerprint)
        self._answered.pop(fingerprint, None)
        self._answered[fingerprint] = count + 1, self._read_time()
        if len(self._answered) > _MOST_ANSWERED:
            self._answered.popitem(last=False)

    def find_causes(self, known: Iterable[str]) -> dict[str, int]:
        """Return the requests that ended targets, with how many each did.

        The one with the most ends comes first, and what it ended says
        nothing of the others any more: whoever was there merely ran there.

        :param known: causes that were found before.
        """
        found: dict[str, int] = {}
        held = set(known)
        explained: set[str] = set()
        for fingerprint in held:
            request = self._requests.get(fingerprint)
            if request is not None:
                explained |= set(request.crashes)
        left = {
            fingerprint: request.list_targets()
            for fingerprint, request in self._requests.items()
            if fingerprint not in held
            and len(request.crashes) >= _LEAST_CRASHES
        }
        while left:
            left = {f: ends - explained for f, ends in left.items()}
            causes = [f for f in left if self._is_cause(f, left)]
            if not causes:
                break
            best = max(causes, key=lambda f: self._rank(f, left[f]))
            found[best] = len(left.pop(best))
            explained |= set(self._requests[best].crashes)
        return found

    def is_suspected(self, fingerprint: str) -> bool:
        """Return whether earlier attempts ended targets and none came to more.

        Such a request is not repeated for its caller: it would take one
        more target within the time in which the first end becomes known.
        """
        return self._was_at_ends(fingerprint, _LEAST_ATTEMPTS)

    def is_held(self, fingerprint: str) -> bool:
        """Return whether a request waits until more is known of its targets.

        It broke off at as many as make a cause, some of which answer nothing
        since.  They may have ended, and are known to have once they are back;
        one that ends each target would take all others until then.
        """
        return bool(self.silent.find(fingerprint)) and self._was_at_ends(
            fingerprint, _LEAST_CRASHES
        )

    def _was_at_ends(self, fingerprint: str, least: int) -> bool:
        """Return whether so many targets ended, or seem to, under a request.

        In several attempts, of which none came to an answer.
        """
        request = self._requests.get(fingerprint, _Request())
        silent = self.silent.find(fingerprint)
        targets = request.list_targets() | {run.target for run in silent}
        attempts = request.attempts | {run.attempt for run in silent}
        return (
            len(targets) >= least
            and len(attempts) >= _LEAST_ATTEMPTS
            and not self._count_answered(fingerprint)
        )

    def was_at_end(self, fingerprint: str) -> bool:
        """Return whether a target ended lately while it ran a request.

        Or seems to have, since it answers nothing.
        """
        known = self._requests.get(fingerprint)
        ended = known is not None and bool(known.crashes)
        return ended or bool(self.silent.find(fingerprint))

    def has_answered(self, fingerprint: str) -> bool:
        """Return whether this gateway answered a request lately."""
        return self._read_answered(fingerprint) > 0

    def read_last_crash(self, fingerprint: str) -> float:
        """Return when a request's last target ended, 0 for none."""
        request = self._requests.get(fingerprint)
        return request.last_at if request is not None else 0.0

    def settle(self, fingerprint: str) -> None:
        """Take it that the ends of a request count against it no more.

        Peers go on telling of them for a while, so they are not forgotten.
        """
        known = self._requests.get(fingerprint)
        if known is not None:
            self._requests[fingerprint] = _Request(
                last_at=known.last_at,
                settled=frozenset(known.crashes),
            )

    def forget_old(self) -> None:
        """Drop requests whose last end is long past."""
        self.silent.forget_old()
        limit = self._read_time() - _KEPT
        for fingerprint, request in list(self._requests.items()):
            if request.last_at < limit:
                del self._requests[fingerprint]

    # What the peers are told, and tell.

    def list_own(self) -> list[tuple[CrashedRun, float]]:
        """Return the ends that this gateway saw lately, and their ages.

        Those of requests that were at several ends first.
        """
        now = self._read_time()
        self._own = [
            (run, at) for run, at in self._own if now - at < _TOLD_FOR
        ]

        def rank(item: tuple[CrashedRun, float]) -> tuple[int, float]:
            request = self._requests.get(item[0].fingerprint, _Request())
            return -len(request.crashes), item[0].seconds

        told = sorted(self._own, key=rank)[:_MOST_TOLD]
        return [(run, now - at) for run, at in told]

    def list_answered(self) -> dict[str, int]:
        """Return requests that ended targets, perhaps, and were answered.

        Only answers that this gateway gave, and how many.
        """
        found: dict[str, int] = {}
        for fingerprint in reversed(self._requests):
            count = self._read_answered(fingerprint)
            if count:
                found[fingerprint] = count
            if len(found) >= _MOST_TOLD:
                break
        return found

    def take_answered(self, peer: str, counts: Mapping[str, int]) -> None:
        """Take what a peer answered of such requests."""
        if counts:
            self._others_answered[peer] = counts
        else:
            self._others_answered.pop(peer, None)

    def forget_peers(self, peers: Iterable[str]) -> None:
        """Drop what peers said that are gone."""
        for peer in peers:
            self._others_answered.pop(peer, None)

    def _is_cause(self, one: str, left: Mapping[str, set[str]]) -> bool:
        """Return whether a request is the cause of what ended under it.

        :param left: the ends that have no known cause, for each request.
        """
        ends = left[one]
        needed = _LEAST_CRASHES * (1 + self._count_answered(one))
        attempts = self._requests[one].attempts
        if len(ends) < needed or len(attempts) < _LEAST_ATTEMPTS:
            return False
        ended = sorted(self._requests[one].crashes[end][1] for end in ends)
        waited = self._read_time() - ended[needed - 1]
        if len(ends) >= needed + _SAME_CRASHES and waited >= _SAME_SECONDS:
            return True
        return not any(
            ends <= other and not self._count_answered(fingerprint)
            for fingerprint, other in left.items()
            if fingerprint != one
        )

    def _rank(self, one: str, ends: set[str]) -> tuple[int, float]:
        """Return how likely a request is a cause: most ends, shortest runs."""
        crashes = self._requests[one].crashes
        return len(ends), -sum(crashes[end][0].seconds for end in ends)

    def _count_answered(self, fingerprint: str) -> int:
        others = self._others_answered.values()
        return self._read_answered(fingerprint) + sum(
            counts.get(fingerprint, 0) for counts in others
        )

    def _read_answered(self, fingerprint: str) -> int:
        """Return how often this gateway answered a request lately."""
        count, last_at = self._answered.get(fingerprint, (0, -math.inf))
        return count if self._read_time() - last_at < _ANSWERS_COUNT else 0
