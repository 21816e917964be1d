"""Protection of new streams from an engine that failed."""

import trio

from magnoliacove import defaults
from magnoliacove import targets
from magnoliacove.timeline import Recorder

__all__ = ["EngineHealth"]

# Seconds between checks of a failed engine; each pause is twice the last.
_INITIAL_PAUSE = 2.0
_MAX_PAUSE = 30.0
# Seconds after the start of a check within which most engines answer it.
_CHECK_DURATION = 0.1
# Seconds after which a stream may ask again while a check or the one stream
# that tries the engine has no result.
_RESULT_INTERVAL = 0.5


class EngineHealth:
    """Refuses new streams at an engine that recently failed or hung.

    Each of them would fail in the same way after its own timeout.  After a
    pause and a call that the engine answers, one stream may try.  Its first
    output shows that the engine works again.
    """

    def __init__(
        self, name: str, engine: targets.Engine, recorder: Recorder
    ) -> None:
        self._name = name
        self._engine = engine
        self._recorder = recorder
        self._is_suspect = False
        self._is_suspended = False
        self._next_check = 0.0
        self._failed = trio.Event()

    @property
    def retry_after(self) -> float:
        """The seconds after which a refused stream may be accepted.

        Until then it is mostly refused while the engine is suspended.
        """
        if not self._is_suspended:
            return _RESULT_INTERVAL
        until_check = max(0.0, self._next_check - trio.current_time())
        return max(until_check + _CHECK_DURATION, _RESULT_INTERVAL)

    def refuses_stream(self, has_streams: bool) -> bool:
        """Return whether a new stream is refused.

        :param has_streams: whether another stream is open at the engine.
        """
        return self._is_suspect and (self._is_suspended or has_streams)

    def record_failure(self, reason: str) -> None:
        """Record that the engine failed, and refuse new streams."""
        if not self._is_suspended:
            self._next_check = trio.current_time() + _INITIAL_PAUSE
        self._is_suspect = self._is_suspended = True
        self._failed.set()
        self._recorder.record("engine-failed", target=self._name, why=reason)

    def record_output(self) -> None:
        """Record that the engine works, and accept new streams."""
        self._is_suspect = False

    async def run(self) -> None:
        """Check whether an engine that failed answers, until cancelled."""
        pause = _INITIAL_PAUSE
        while True:
            if not self._is_suspect:
                pause = _INITIAL_PAUSE
            if not self._is_suspended:
                self._failed = trio.Event()
                await self._failed.wait()
            self._next_check = trio.current_time() + pause
            await trio.sleep(pause)
            pause = min(pause * 2, _MAX_PAUSE)
            with trio.move_on_after(defaults.ENGINE_TIMEOUT):
                try:
                    await self._engine.read_load()
                except targets.EngineError:
                    continue
                self._is_suspended = False
                self._recorder.record("engine-answers", target=self._name)
