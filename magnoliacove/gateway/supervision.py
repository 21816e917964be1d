"""Keeping one fault from ending the whole process."""

from collections.abc import Awaitable
from collections.abc import Callable
import traceback

import trio

from magnoliacove.timeline import Recorder

__all__ = ["run_supervised"]

# A task that fails at once again and again must not use up the processor.
_RESTART_AFTER = 0.25


async def run_supervised(
    name: str, task: Callable[[], Awaitable[None]], recorder: Recorder
) -> None:
    """Run a task for as long as the process lives.

    A fault in one task, as an unforeseen answer of a peer, would end the
    process and with it every stream that it serves.  The task starts
    again instead; its state lies outside of it, so it goes on with what
    the process knows.
    """
    while True:
        try:
            await task()
        except Exception as why:
            recorder.record(
                "task-failed",
                target=name,
                why=repr(why),
                traceback=traceback.format_exc(),
            )
        await trio.sleep(_RESTART_AFTER)
