"""What the caller is told of a stream that cannot go on."""

from collections.abc import Sequence

import trio

from magnoliacove.gateway.callers import Exchange
from magnoliacove.gateway.delivery import BrokenRunError
from magnoliacove.gateway.requests import make_may_have_run
from magnoliacove.gateway.requests import make_quarantined
from magnoliacove.gateway.target_answers import forward_answer
from magnoliacove.gateway.target_answers import require_answer
from magnoliacove.limits.quarantine import Quarantine

__all__ = ["answer_failure", "check_quarantines"]


def check_quarantines(active: Sequence[Quarantine], runs: int) -> None:
    """Stop a request that was quarantined while it waited for a path.

    :param active: the quarantines that hold for the request.
    :param runs: the number of its runs that failed.
    :raises magnoliacove.errors.RequestError: when the request is blocked.
    """
    if not active:
        return
    if runs:
        message = "targets ended while they ran such a request"
        raise make_may_have_run("quarantined", message, 502)
    until = max(quarantine.until for quarantine in active)
    wait = until - trio.current_time()
    if wait > 0.0:
        raise make_quarantined(wait)


async def answer_failure(
    exchange: Exchange, failure: BrokenRunError, runs: int
) -> None:
    """Forward the engine's error answer, or raise an error.

    :param runs: the number of runs that failed.
    :raises magnoliacove.errors.RequestError: when there is no answer of an
        engine that may be forwarded, or the answer to the caller has already
        started.
    """
    answer = require_answer(
        # An answer that has begun can only be cut.
        None if exchange.started else failure.answer,
        ran=runs > 0,
        code="stream_failed",
        message="no path of engines brought the stream to its end: "
        f"{failure.reason}",
    )
    await forward_answer(exchange, answer)
