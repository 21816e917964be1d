"""Whether an engine that failed is to get new streams."""

import trio

from magnoliacove import defaults
from magnoliacove import targets
from magnoliacove.timeline import Recorder

__all__ = ["EngineSuspicion"]

_SUSPENSION_FIRST = 2.0
_SUSPENSION_MOST = 30.0


class EngineSuspicion:
    """Keeps new streams off an engine that has just failed or hung.

    Each would meet the same end after its own time-out.  After a pause and
    a call that the engine answers, one stream may try; its first output
    ends the suspicion.
    """

    def __init__(
        self, name: str, engine: targets.Engine, recorder: Recorder
    ) -> None:
        self._name = name
        self._engine = engine
        self._recorder = recorder
        self._suspect = False
        self._suspended = False
        self._noted = trio.Event()

    def forbids(self, others: bool) -> bool:
        """Return whether a new stream is to be refused.

        :param others: whether another stream tries already.
        """
        return self._suspect and (self._suspended or others)

    def note_failure(self, why: str) -> None:
        """Suspect the engine."""
        self._suspect = self._suspended = True
        self._noted.set()
        self._recorder.record("engine-failed", target=self._name, why=why)

    def note_output(self) -> None:
        """End the suspicion."""
        self._suspect = False

    async def run(self) -> None:
        """Ask an engine that failed whether it answers, until cancelled."""
        pause = _SUSPENSION_FIRST
        while True:
            if not self._suspect:
                pause = _SUSPENSION_FIRST
            if not self._suspended:
                self._noted = trio.Event()
                await self._noted.wait()
            await trio.sleep(pause)
            pause = min(pause * 2, _SUSPENSION_MOST)
            with trio.move_on_after(defaults.ENGINE_TIMEOUT):
                try:
                    await self._engine.read_load()
                except targets.EngineError:
                    continue
                self._suspended = False
                self._recorder.record("engine-answers", target=self._name)
