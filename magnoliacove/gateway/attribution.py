"""Attribution of crashes to requests, and to parts of their prompts.

Each gateway decides by what all of them observed, and quarantines the cause
for all.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import random

import trio

from magnoliacove.gateway.state import GatewayState
from magnoliacove.limits.part_crashes import SoundPart
from magnoliacove.limits.quarantine import Quarantine
from magnoliacove.limits.runs import BrokenRun
from magnoliacove.limits.runs import CrashedRun
from magnoliacove.limits.runs import number_request

__all__ = ["CrashAttribution"]

# Seconds without a further crash report before crashes are attributed to
# requests.  By then the other gateways have reported what ran there too.
_QUIET_PERIOD = 0.25
# Maximum seconds for which further reports delay that decision.
_MAX_SETTLE_TIME = 0.75
# Range of the extra delay, in seconds, of a gateway that observed none of the
# recent crashes.  A gateway that did has announced its decision by then, so
# that not each of 330 gateways writes the same quarantine to the store.
_NON_OBSERVER_DELAY = (0.5, 1.0)


class CrashAttribution:
    """Quarantines what crashes targets, for one gateway.

    :param announce: called to send a heartbeat to the peers at once.
    :param save: called with each quarantine that must outlast this process.
    """

    def __init__(
        self,
        state: GatewayState,
        announce: Callable[[], None] = lambda: None,
        save: Callable[[Quarantine], None] = lambda _: None,
    ) -> None:
        self._state = state
        self._announce = announce
        self._save = save
        # Fingerprints in quarantine, as of the last check.
        self._quarantined: set[str] = set()
        self._changed = trio.Event()

    async def run(self) -> None:
        """Attribute crashes until cancelled."""
        while True:
            await self._changed.wait()
            await self._wait_until_settled()
            self._update_quarantines()

    # Results of this gateway's runs.

    def record_result(self, ended: bool, run: BrokenRun) -> None:
        """Record whether the target of a run that broke off has ended."""
        crashes, parts = self._state.crash_history, self._state.part_history
        crashes.unresponsive.drop(run.whole)
        if not ended:
            crashes.note_run(run.whole.fingerprint, run.whole.seconds)
            for part in run.parts:
                parts.unresponsive.drop(part)
            return
        is_new = crashes.note_crash(run.whole)
        for part in run.parts:
            is_new = parts.note_crash(part) or is_new
        if is_new:
            self._changed.set()

    def note_answered(self, fingerprint: str) -> None:
        """Record that a request was answered in full, so it is harmless."""
        self._state.crash_history.note_answered(fingerprint)
        self._end_quarantine(fingerprint, "it was answered")

    def note_lasting(self, parts: Iterable[str], seconds: float) -> None:
        """Record that a run shows that the parts of its prompt are harmless.

        :param seconds: since the run began.
        """
        for part in parts:
            self._note_sound(part, seconds, own=True)
            self._end_quarantine(part, "a run with it lasted")

    def defer(self, fingerprint: str) -> None:
        """Block what may have crashed targets that answer nothing now.

        Were it only refused, all gateways that are killed at once would
        forget it, and it would crash as many targets again.
        """
        begun = self._state.quarantine.begin_provisional(
            fingerprint, "its targets ended or answer nothing"
        )
        if begun is not None:
            self._save(begun)
            self._announce()

    # Reports of peers.

    def record_reported_crash(self, run: CrashedRun, age: float) -> None:
        """Record a crash that a peer observed."""
        crashes = self._state.crash_history
        if not crashes.note_crash(run, age=age, own=False):
            return
        self._changed.set()
        if crashes.has_answered(run.fingerprint):
            # The peers are about to decide, and the next regular heartbeat,
            # due only in seconds, would report too late that the request is
            # harmless.
            self._announce()

    def record_reported_part(self, run: CrashedRun, age: float) -> None:
        """Record that a peer observed a crash under a part of a prompt."""
        parts = self._state.part_history
        if not parts.note_crash(run, age=age, own=False):
            return
        self._changed.set()
        if parts.is_proven_here(run.fingerprint):
            # As for requests that were answered.
            self._announce()

    def record_reported_sound(self, parts: Sequence[SoundPart]) -> None:
        """Record which parts a peer found to be harmless."""
        for part in parts:
            self._note_sound(part.fingerprint, part.age, own=False)

    def record_reported_quarantine(
        self, quarantine: Quarantine, peer: str
    ) -> None:
        """Apply a peer's quarantine, unless it is known to be a mistake.

        A peer that has not heard yet which parts lasting runs have cleared
        would block them everywhere, and then no run could clear them.
        """
        fingerprint = quarantine.fingerprint
        taken = self._state.quarantine.take(quarantine, peer)
        proven = self._state.part_history.is_proven(fingerprint)
        if taken and quarantine.provisional and proven:
            self._end_quarantine(fingerprint, "a run with it lasted")

    def discard_old(self) -> None:
        """Discard crashes that are too old to count."""
        self._state.crash_history.forget_old()
        self._state.part_history.forget_old()
        self._settle_expired()

    # Decisions.

    async def _wait_until_settled(self) -> None:
        """Wait until no further crashes are reported."""
        limit = trio.current_time() + _MAX_SETTLE_TIME
        while self._changed.is_set() and trio.current_time() < limit:
            self._changed = trio.Event()
            with trio.move_on_after(_QUIET_PERIOD):
                await self._changed.wait()
        if not self._has_observed():
            await trio.sleep(random.uniform(*_NON_OBSERVER_DELAY))

    def _has_observed(self) -> bool:
        """Return whether this gateway observed a recent crash."""
        state = self._state
        return bool(
            state.crash_history.list_own() or state.part_history.list_own()
        )

    def _update_quarantines(self) -> None:
        state = self._state
        self._settle_expired()
        quarantines = state.quarantine.list_all()
        known = [
            active.fingerprint
            for active in quarantines
            if not active.provisional
        ]
        causes = state.crash_history.find_causes(known)
        begun = [
            state.quarantine.begin(
                fingerprint,
                crashes,
                f"{crashes} targets ended while they ran it",
            )
            for fingerprint, crashes in causes.items()
        ]
        begun += self._quarantine_part(known)
        why = "another target ended while it ran the request"
        found = {quarantine.fingerprint for quarantine in begun}
        for active in quarantines:
            fingerprint = active.fingerprint
            if fingerprint in found:
                continue
            last = self._read_last_crash(fingerprint)
            if state.quarantine.crashed_again(fingerprint, last):
                begun.append(
                    state.quarantine.begin(
                        fingerprint, active.crashes + 1, why
                    )
                )
        for quarantine in begun:
            self._quarantined.add(quarantine.fingerprint)
            self._save(quarantine)
        if begun:
            self._announce()

    def _quarantine_part(self, known: Sequence[str]) -> list[Quarantine]:
        """Quarantine the part of prompts that crashes targets, if any.

        :param known: fingerprints of the causes that were found before.
        """
        state = self._state
        explained = {
            number_request(request): state.crash_history.list_crashes(request)
            for request in known
        }
        cause = state.part_history.find_cause(known, explained)
        if cause is None:
            return []
        # There may be another one.
        self._changed.set()
        why = (
            f"{cause.crashes} targets ended while they ran prompts with this "
            "part"
        )
        return [state.quarantine.begin(cause.fingerprint, cause.crashes, why)]

    def _note_sound(self, part: str, age: float, *, own: bool) -> None:
        dropped = self._state.part_history.note_sound(part, age, own=own)
        if dropped > 1:
            self._state.recorder.record(
                "part-cleared",
                fingerprint=part,
                why="a run with it lasted",
                own=own,
                crashes=dropped,
                age=round(age, 2),
            )

    def _end_quarantine(self, fingerprint: str, why: str) -> None:
        ended = self._state.quarantine.end(fingerprint, why)
        if ended is not None:
            self._settle_expired()
            self._save(ended)
            self._announce()

    def _read_last_crash(self, fingerprint: str) -> float:
        state = self._state
        return max(
            state.crash_history.read_last_crash(fingerprint),
            state.part_history.read_last_crash(fingerprint),
        )

    def _settle_expired(self) -> None:
        """Discard the crashes of what is no longer in quarantine.

        Otherwise the next report of any crash would begin it again.
        """
        in_quarantine = {
            quarantine.fingerprint
            for quarantine in self._state.quarantine.list_all()
        }
        for fingerprint in self._quarantined - in_quarantine:
            self._state.crash_history.clear_crashes(fingerprint)
            self._state.part_history.clear_crashes(fingerprint)
        self._quarantined = in_quarantine
