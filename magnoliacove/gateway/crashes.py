"""Finding out which requests end the targets that run them.

A run that breaks off may have met a lost connection as well as a target that
ended, so the target is asked first: a process that is gone refuses
connections, one that started again tells when.  An instance that answers
nothing, by resets or by silence, tells neither until its target is back.  It
is asked until then, and meanwhile counts against repeats of the request.
"""

from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
import random
import zlib

import trio

from magnoliacove.directory.listed import ListedTarget
from magnoliacove.gateway.channels import TargetError
from magnoliacove.gateway.engines import EngineCalls
from magnoliacove.gateway.requests import RoutedRequest
from magnoliacove.gateway.state import GatewayState
from magnoliacove.limits.quarantine import Quarantine
from magnoliacove.limits.runs import CrashedRun

__all__ = ["CrashWatch"]

# When a target under which a run broke off is asked, in seconds after that.
# A process that ended refuses at once; one whose instance falls silent is
# known by its next start, or by its entry, as soon as it is back.
_ASK_AFTER = (0.0, 0.5, 1.2, 2.0, 2.7, 3.4, 4.2, 5.0, 7.0, 10.0, 15.0, 20.0)
_ASK_TIMEOUT = 0.4
# Ends are put down to a request this long after the last news of them, in
# seconds: by then the other gateways have told what ran there too.
_SETTLE = 0.25
# News that keeps coming does not put that off for longer, seconds.
_MOST_SETTLE = 0.75
# A gateway that saw none of the ends lately decides so much later, in seconds:
# one that did has told its finding by then, and not each of 330 gateways
# writes the same to the store.
_AFTER_OBSERVERS = (0.5, 1.0)
# Answers are kept for runs that break off a little later, in seconds: of a
# target that ended, and of one that lives.
_ANSWER_KEPT = 30.0
_LIVES_FOR = 0.5
# A request that was at an end before waits so long for the answer about its
# next target, seconds.  A process that is gone refuses within milliseconds.
_ANSWER_WAIT = 0.1
# Fingerprints that one line names.
_MOST_NAMED = 8


@dataclass
class _Question:
    """Whether one target ended, and the runs that broke off there.

    :param ended: None while that is not known.
    :param silent: whether the target gave no answer to the first question.
    """

    asked_at: float
    silent: bool = False
    runs: dict[tuple[str, int], CrashedRun] = field(default_factory=dict)
    ended: bool | None = None
    answered: trio.Event = field(default_factory=trio.Event)

    def still_holds(self, now: float) -> bool:
        """Return whether the answer tells of a run that broke off now.

        What ended stays so; what lived may have ended since.
        """
        return self.ended is not False or now - self.asked_at < _LIVES_FOR


class CrashWatch:
    """Keeps requests away that end targets, for one gateway.

    :param tell: called when the peers are to hear of something at once.
    :param save: called with each quarantine that is to outlast this process.
    :param look: called when the store may know of quarantines that are not
        known here.
    """

    def __init__(
        self,
        state: GatewayState,
        calls: EngineCalls,
        tell: Callable[[], None] = lambda: None,
        save: Callable[[Quarantine], None] = lambda _: None,
        look: Callable[[], None] = lambda: None,
    ) -> None:
        self._state = state
        self._calls = calls
        self._tell = tell
        self._save = save
        self._look = look
        self._questions: dict[str, _Question] = {}
        # Requests in quarantine, as of the last look.
        self._held: set[str] = set()
        self._news = trio.Event()
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Decide on the ends of targets until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            try:
                while True:
                    await self._news.wait()
                    await self._settle()
                    self._decide()
            finally:
                self._nursery = None

    # What runs of requests tell.

    def note_broken(
        self, target: ListedTarget, routed: RoutedRequest, seconds: float
    ) -> None:
        """Find out whether a target ended under a run that broke off there.

        :param seconds: how long the run had gone on since its first bytes.
        """
        run = CrashedRun(
            routed.fingerprint,
            zlib.crc32(routed.caller_headers.request.encode()),
            target.name,
            seconds,
        )
        now = trio.current_time()
        question = self._questions.get(target.name)
        if question is None or not question.still_holds(now):
            question = self._questions[target.name] = _Question(now)
            if self._nursery is not None:
                self._nursery.start_soon(self._ask, target, question)
        if question.ended is None:
            question.runs.setdefault((run.fingerprint, run.attempt), run)
            if question.silent:
                self._note_silent([run])
            return
        self._note_answer(question.ended, run)

    async def wait_answer(self, target: str, fingerprint: str) -> None:
        """Wait for a moment until it is known whether a target ended.

        Only for a request that was at an end before: without it each attempt
        ends a second target before the end of the first one is known.
        """
        question = self._questions.get(target)
        if question is None or not self._state.crashes.was_at_end(fingerprint):
            return
        with trio.move_on_after(_ANSWER_WAIT):
            await question.answered.wait()

    def note_answered(self, fingerprint: str) -> None:
        """Take it that a request was answered in full, so it is harmless."""
        state = self._state
        state.crashes.note_answered(fingerprint)
        ended = state.quarantine.end(fingerprint, "it was answered")
        if ended is not None:
            self._settle_ended()
            self._save(ended)
            self._tell()

    def note_lost(
        self, names: Iterable[str], routed: RoutedRequest, seconds: float
    ) -> None:
        """Find out whether engines of a stream's path ended under it.

        This comes again and again until the stream is led elsewhere; one that
        was asked and lives is not asked each time.  Runs that come before the
        answer count too: all streams through an engine are led around it in
        one go, and the one that ended it is seldom the first.
        """
        for name in names:
            target = self._state.targets.find(name)
            asked = self._questions.get(name)
            lives = asked is not None and asked.ended is False
            if target is not None and not lives:
                self.note_broken(target, routed, seconds)

    # What peers tell.

    def take_crash(self, run: CrashedRun, age: float) -> None:
        """Take a target's end that a peer saw."""
        crashes = self._state.crashes
        if not crashes.note_crash(run, age=age, own=False):
            return
        self._news.set()
        if crashes.has_answered(run.fingerprint):
            # The others are about to decide, and a heartbeat that is due
            # only in seconds would tell them too late that it is harmless.
            self._tell()

    def forget(self) -> None:
        """Drop what is too old to say anything."""
        self._state.crashes.forget_old()
        self._settle_ended()
        limit = trio.current_time() - _ANSWER_KEPT
        for name, question in list(self._questions.items()):
            if question.asked_at < limit:
                del self._questions[name]

    # Asking a target.

    async def _ask(self, target: ListedTarget, question: _Question) -> None:
        ended = None
        for after in _ASK_AFTER:
            await trio.sleep_until(question.asked_at + after)
            ended = await self._has_ended(target)
            if ended is not None:
                break
            if not question.silent:
                question.silent = True
                self._note_silent(question.runs.values())
        question.ended = bool(ended)
        question.answered.set()
        runs = sorted(question.runs.values(), key=lambda run: run.seconds)
        question.runs.clear()
        for run in runs:
            self._note_answer(question.ended, run)
        if not ended:
            return
        state = self._state
        state.recorder.record(
            "target-ended",
            target=target.name,
            why="it ended while requests ran there",
            runs=len(runs),
            fingerprints={
                run.fingerprint: round(run.seconds, 3)
                for run in runs[:_MOST_NAMED]
            },
        )
        state.meters.count("targets_ended_total", service=target.service)
        state.health.suspect(target.name, "it ended while requests ran there")
        self._look()
        self._tell()

    async def _has_ended(self, target: ListedTarget) -> bool | None:
        """Return whether a target's process is gone, None when unknown.

        One that leaves in order is not ended by what still runs there.
        """
        known = self._state.targets
        listed = known.find(target.name)
        suspicion = self._state.health.find(target.name)
        leaving = suspicion is not None and suspicion.leaving
        if target.draining or leaving or (listed and listed.draining):
            return False
        if target.name in known.list_former():
            return True
        with trio.move_on_after(_ASK_TIMEOUT):
            try:
                return await self._ask_once(target)
            except TargetError as why:
                # It did not answer, or only an end of the connection did.
                return True if why.refused else None
        return None

    async def _ask_once(self, target: ListedTarget) -> bool:
        """Return whether another incarnation runs at a target's address.

        :raises TargetError: when nobody answers there.
        """
        may_ask = self._state.permits.try_call
        if not target.accelerator or not may_ask(target.name):
            # A plain service has no report, and an engine in need may want no
            # questions; it takes connections, so it runs.
            async with self._state.pool.use(target, fresh=True):
                return False
        report = await self._calls.read_report(target, fresh=True)
        return report.incarnation not in (0, target.incarnation)

    def _note_silent(self, runs: Iterable[CrashedRun]) -> None:
        """Take it that the target of some runs answers nothing."""
        for run in runs:
            self._state.crashes.silent.note(run)
        self._tell()

    def _note_answer(self, ended: bool, run: CrashedRun) -> None:
        crashes = self._state.crashes
        crashes.silent.drop(run)
        if not ended:
            crashes.note_run(run.fingerprint, run.seconds)
            return
        if crashes.note_crash(run):
            self._news.set()

    # Deciding.

    async def _settle(self) -> None:
        """Wait until no more news of ends comes."""
        limit = trio.current_time() + _MOST_SETTLE
        while self._news.is_set() and trio.current_time() < limit:
            self._news = trio.Event()
            with trio.move_on_after(_SETTLE):
                await self._news.wait()
        if not self._state.crashes.list_own():
            await trio.sleep(random.uniform(*_AFTER_OBSERVERS))

    def _decide(self) -> None:
        state = self._state
        self._settle_ended()
        held = state.quarantine.list_all()
        causes = state.crashes.find_causes(one.fingerprint for one in held)
        begun = [
            state.quarantine.begin(
                fingerprint, crashes, f"{crashes} targets ended under it"
            )
            for fingerprint, crashes in causes.items()
        ]
        why = "a target ended under it again"
        for one in held:
            last = state.crashes.read_last_crash(one.fingerprint)
            if state.quarantine.is_tried_again(one.fingerprint, last):
                begun.append(
                    state.quarantine.begin(
                        one.fingerprint, one.crashes + 1, why
                    )
                )
        for quarantine in begun:
            self._held.add(quarantine.fingerprint)
            self._save(quarantine)
        if begun:
            self._tell()

    def _settle_ended(self) -> None:
        """Let the ends count no more whose quarantine is over.

        Else the next news of any end would begin it again.
        """
        held = {one.fingerprint for one in self._state.quarantine.list_all()}
        for fingerprint in self._held - held:
            self._state.crashes.settle(fingerprint)
        self._held = held
