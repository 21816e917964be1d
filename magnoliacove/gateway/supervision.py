"""Restarting of tasks, so that one fault does not end the whole process."""

from collections.abc import Awaitable
from collections.abc import Callable
import traceback

import trio

from magnoliacove.timeline import Recorder

__all__ = ["run_supervised"]

# Seconds until a task is restarted, so that a task that fails immediately each
# time does not use up the processor.
_RESTART_DELAY = 0.25


async def run_supervised(
    name: str, task: Callable[[], Awaitable[None]], recorder: Recorder
) -> None:
    """Run a task until cancelled and restart it when it ends.

    Without the restart a fault in one task, such as an unexpected answer of a
    peer, would end the process and every stream that it serves.  The state is
    kept outside of the task, so a restarted task continues with it.
    """
    while True:
        try:
            await task()
        except Exception as error:
            recorder.record(
                "task-failed",
                target=name,
                why=repr(error),
                traceback=traceback.format_exc(),
            )
        await trio.sleep(_RESTART_DELAY)
