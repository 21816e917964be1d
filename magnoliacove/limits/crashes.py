"""Detection of the requests that crash the targets that run them.

When a target ends, every request that runs there fails, so each of them may
be the cause.  Requests that are moved to the next target together are there
again when that one ends.  The cause differs from the others in four ways: it
runs at every target that ends, in several attempts of its callers, it never
completes, and none of its runs lasts longer than the rest.
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
from magnoliacove.limits.unresponsive import UnresponsiveRuns

__all__ = ["CrashHistory"]

# Crashes after which a request that was never answered counts as their cause;
# each answer requires as many more.  Two crashes occur by chance when several
# targets fail together, a third is unlikely to.
_MIN_CRASHES = 3
# A request that ran at the same crashes as another one counts as the cause
# only after this many more crashes, and this many seconds after the third:
# the next crashes usually distinguish the two.  At most three more crashes are
# acceptable later than three seconds after the third one.
_AMBIGUOUS_CRASHES = 2
_AMBIGUOUS_SECONDS = 2.0
# Minimum number of callers' attempts that the crashes come from.  One attempt
# moves from target to target together with others; a request that moves along
# with the cause leaves the group once it is answered.
_MIN_ATTEMPTS = 2
# Seconds by which the durations of runs that crash their target may differ.
# The cause crashes it at the same step, sooner or later depending on what else
# runs there.
_MAX_DURATION_DIFFERENCE = 1.0
# Seconds after its last crash at which a request's history expires; callers
# may pause for a long time.
_RETENTION = 600.0
# Maximum numbers of requests, of crashes of each request and of answered
# requests in memory: some megabytes at most.
_MAX_REQUESTS = 1024
_MAX_CRASHES = 16
_MAX_ANSWERED = 4096
# Seconds for which an answer counts in a request's favour.  A harmless request
# may crash targets once the targets, or the layers or data that they hold,
# have changed.
_ANSWER_RETENTION = 60.0
# Seconds for which each heartbeat reports a crash to the peers, repeatedly
# since a heartbeat may be lost, and the maximum number of crashes in one
# heartbeat, 35 bytes each.
_REPORTED_FOR = 10.0
_MAX_REPORTED = 16


@dataclass
class _Request:
    """The crash history of one request.

    :param crashes: by target, the run at its crash, and the crash time.
    :param longest: seconds of the longest run without an answer.
    :param last_at: when the last of the request's targets ended.
    :param cleared: targets whose crash no longer counts against the request.
    """

    crashes: dict[str, tuple[CrashedRun, float]] = field(default_factory=dict)
    attempts: set[int] = field(default_factory=set)
    longest: float = 0.0
    last_at: float = 0.0
    cleared: frozenset[str] = frozenset()

    def list_targets(self) -> set[str]:
        """Return the targets that the request may have crashed.

        A longer run shows that the request does not crash a target that
        early.
        """
        min_seconds = self.longest - _MAX_DURATION_DIFFERENCE
        return {
            target
            for target, (run, _) in self.crashes.items()
            if run.seconds >= min_seconds
        }


class CrashHistory:
    """Crashes of targets and the runs there, as all gateways report them.

    :param read_time: returns seconds.
    :param unresponsive: runs at unresponsive targets, of which it is not yet
        known whether the target crashed.
    """

    def __init__(
        self, read_time: Callable[[], float] = trio.current_time
    ) -> None:
        self.unresponsive = UnresponsiveRuns(read_time)
        self._read_time = read_time
        self._requests: OrderedDict[str, _Request] = OrderedDict()
        # Number of answers of each request, and the time of the last one.
        self._answered: OrderedDict[str, tuple[int, float]] = OrderedDict()
        self._peer_answers: dict[str, Mapping[str, int]] = {}
        self._own: list[tuple[CrashedRun, float]] = []

    def note_crash(
        self, run: CrashedRun, *, age: float = 0.0, own: bool = True
    ) -> bool:
        """Record that a target ended during a run.

        :param age: seconds since it ended.
        :param own: whether this gateway observed it; otherwise a peer did.
        :returns: whether the crash was not recorded before.
        """
        at = self._read_time() - age
        self.unresponsive.drop(run)
        if age >= _RETENTION:
            return False
        request = self._requests.setdefault(run.fingerprint, _Request())
        self._requests.move_to_end(run.fingerprint)
        if len(self._requests) > _MAX_REQUESTS:
            self._requests.popitem(last=False)
        if run.target in request.crashes or run.target in request.cleared:
            return False
        request.crashes[run.target] = run, at
        if len(request.crashes) > _MAX_CRASHES:
            del request.crashes[next(iter(request.crashes))]
        request.attempts.add(run.attempt)
        request.longest = max(request.longest, run.seconds)
        request.last_at = max(request.last_at, at)
        if own:
            self._own.append((run, at))
        return True

    def note_run(self, fingerprint: str, seconds: float) -> None:
        """Record that a run lasted this long and did not crash its target.

        :param seconds: since the run's first bytes.
        """
        request = self._requests.get(fingerprint)
        if request is not None:
            request.longest = max(request.longest, seconds)

    def note_answered(self, fingerprint: str) -> None:
        """Record that a request was answered in full."""
        count = self._read_answered(fingerprint)
        self._answered.pop(fingerprint, None)
        self._answered[fingerprint] = count + 1, self._read_time()
        if len(self._answered) > _MAX_ANSWERED:
            self._answered.popitem(last=False)

    def find_causes(self, known: Iterable[str]) -> dict[str, int]:
        """Return the requests that crash targets, with their crash counts.

        The request with the most crashes is chosen first.  Its crashes then
        no longer count against the other requests that ran there.

        :param known: causes that were found before.
        """
        found: dict[str, int] = {}
        known_causes = set(known)
        explained: set[str] = set()
        for fingerprint in known_causes:
            explained |= self.list_crashes(fingerprint)
        unexplained = {
            fingerprint: request.list_targets()
            for fingerprint, request in self._requests.items()
            if fingerprint not in known_causes
            and len(request.crashes) >= _MIN_CRASHES
        }
        while unexplained:
            unexplained = {
                f: ends - explained for f, ends in unexplained.items()
            }
            causes = [f for f in unexplained if self._is_cause(f, unexplained)]
            if not causes:
                break
            best = max(causes, key=lambda f: self._rank(f, unexplained[f]))
            found[best] = len(unexplained.pop(best))
            explained |= self.list_crashes(best)
        return found

    def is_suspected(self, fingerprint: str) -> bool:
        """Return whether several attempts crashed targets and none completed.

        Such a request is not retried for its caller: a retry would crash one
        more target before the first crash is detected.
        """
        return self._has_crashes(fingerprint, _MIN_ATTEMPTS)

    def is_deferred(self, fingerprint: str) -> bool:
        """Return whether a request waits until its targets' state is clear.

        It failed at as many targets as make a cause, and some of them have
        been unresponsive since.  They may have crashed, which is known only
        when they are back; until then a request that crashes every target
        would crash all others.
        """
        return bool(self.unresponsive.find(fingerprint)) and self._has_crashes(
            fingerprint, _MIN_CRASHES
        )

    def _has_crashes(self, fingerprint: str, min_targets: int) -> bool:
        """Return whether enough targets crashed in several attempts.

        Unresponsive targets count as crashed.  A request that was answered
        does not qualify.

        :param min_targets: minimum number of targets.
        """
        request = self._requests.get(fingerprint, _Request())
        unresponsive = self.unresponsive.find(fingerprint)
        targets = request.list_targets() | {run.target for run in unresponsive}
        attempts = request.attempts | {run.attempt for run in unresponsive}
        return (
            len(targets) >= min_targets
            and len(attempts) >= _MIN_ATTEMPTS
            and not self._count_answered(fingerprint)
        )

    def has_recent_crash(self, fingerprint: str) -> bool:
        """Return whether a target recently ended while it ran a request.

        An unresponsive target counts as ended.
        """
        request = self._requests.get(fingerprint)
        ended = request is not None and bool(request.crashes)
        return ended or bool(self.unresponsive.find(fingerprint))

    def has_answered(self, fingerprint: str) -> bool:
        """Return whether this gateway recently answered a request."""
        return self._read_answered(fingerprint) > 0

    def list_crashes(self, fingerprint: str) -> set[str]:
        """Return the targets that ended while they ran a request."""
        request = self._requests.get(fingerprint)
        return set(request.crashes) if request is not None else set()

    def read_last_crash(self, fingerprint: str) -> float:
        """Return the time of a request's last crash, 0 for none."""
        request = self._requests.get(fingerprint)
        return request.last_at if request is not None else 0.0

    def clear_crashes(self, fingerprint: str) -> None:
        """Stop counting a request's crashes against it.

        Peers continue to report them for a while, so their targets stay
        recorded.
        """
        request = self._requests.get(fingerprint)
        if request is not None:
            self._requests[fingerprint] = _Request(
                last_at=request.last_at,
                cleared=frozenset(request.crashes),
            )

    def forget_old(self) -> None:
        """Discard requests whose history has expired."""
        self.unresponsive.forget_old()
        limit = self._read_time() - _RETENTION
        for fingerprint, request in list(self._requests.items()):
            if request.last_at < limit:
                del self._requests[fingerprint]

    # Exchange with peers.

    def list_own(self) -> list[tuple[CrashedRun, float]]:
        """Return the crashes that this gateway recently observed, and ages.

        Crashes of requests with the most crashes come first.
        """
        now = self._read_time()
        self._own = [
            (run, at) for run, at in self._own if now - at < _REPORTED_FOR
        ]

        def rank(item: tuple[CrashedRun, float]) -> tuple[int, float]:
            request = self._requests.get(item[0].fingerprint, _Request())
            return -len(request.crashes), item[0].seconds

        reported = sorted(self._own, key=rank)[:_MAX_REPORTED]
        return [(run, now - at) for run, at in reported]

    def list_answered(self) -> dict[str, int]:
        """Return the answer counts of requests that ran at crashes.

        Only answers that this gateway gave count.
        """
        found: dict[str, int] = {}
        for fingerprint in reversed(self._requests):
            count = self._read_answered(fingerprint)
            if count:
                found[fingerprint] = count
            if len(found) >= _MAX_REPORTED:
                break
        return found

    def take_answered(self, peer: str, counts: Mapping[str, int]) -> None:
        """Replace the answer counts that a peer reported."""
        if counts:
            self._peer_answers[peer] = counts
        else:
            self._peer_answers.pop(peer, None)

    def forget_peers(self, peers: Iterable[str]) -> None:
        """Discard the answer counts of peers that are unreachable."""
        for peer in peers:
            self._peer_answers.pop(peer, None)

    def _is_cause(
        self, fingerprint: str, unexplained: Mapping[str, set[str]]
    ) -> bool:
        """Return whether a request is the cause of its unexplained crashes.

        :param unexplained: for each request, its crashes without known cause.
        """
        ends = unexplained[fingerprint]
        needed = _MIN_CRASHES * (1 + self._count_answered(fingerprint))
        attempts = self._requests[fingerprint].attempts
        if len(ends) < needed or len(attempts) < _MIN_ATTEMPTS:
            return False
        crash_times = sorted(
            self._requests[fingerprint].crashes[end][1] for end in ends
        )
        waited = self._read_time() - crash_times[needed - 1]
        if (
            len(ends) >= needed + _AMBIGUOUS_CRASHES
            and waited >= _AMBIGUOUS_SECONDS
        ):
            return True
        return not any(
            ends <= other_ends and not self._count_answered(other)
            for other, other_ends in unexplained.items()
            if other != fingerprint
        )

    def _rank(self, fingerprint: str, ends: set[str]) -> tuple[int, float]:
        """Return a sort key, highest for most crashes, then shortest runs."""
        crashes = self._requests[fingerprint].crashes
        return len(ends), -sum(crashes[end][0].seconds for end in ends)

    def _count_answered(self, fingerprint: str) -> int:
        others = self._peer_answers.values()
        return self._read_answered(fingerprint) + sum(
            counts.get(fingerprint, 0) for counts in others
        )

    def _read_answered(self, fingerprint: str) -> int:
        """Return how often this gateway recently answered a request."""
        count, last_at = self._answered.get(fingerprint, (0, -math.inf))
        return count if self._read_time() - last_at < _ANSWER_RETENTION else 0
