"""Child process: callers that read many streams concurrently.

It prints one JSON line: the number of tokens, the duration in seconds and
quantiles of the delays in milliseconds.  A delay counts from the time of
sending, which is the text of each token.
"""

import json
import statistics
import sys
import time

import logbook
import trio

from magnoliacove.standins import fleet as fleets

# Seconds after the last stream opened for which delays are not counted, since
# streams open faster here than in production.
_WARM_UP = 1.0


async def _read(
    url: str, tokens: int, delays: list[float], steady_at: list[float]
) -> int:
    caller = fleets.Caller(url)
    count = 0
    async for text in caller.stream("lot", tokens):
        count += 1
        now = time.monotonic()
        if steady_at and now > steady_at[0]:
            delays.append((now - float(text)) * 1000)
    return count


async def _main(url: str, streams: int, tokens: int) -> None:
    delays: list[float] = []
    steady_at: list[float] = []
    total = 0
    started_at = time.monotonic()

    async def read() -> None:
        nonlocal total
        count = await _read(url, tokens, delays, steady_at)
        total += count

    async with trio.open_nursery() as nursery:
        for _ in range(streams):
            nursery.start_soon(read)
            await trio.sleep(0.005)
        steady_at.append(time.monotonic() + _WARM_UP)
    percentiles = statistics.quantiles(delays, n=100)
    print(
        json.dumps(
            {
                "tokens": total,
                "seconds": time.monotonic() - started_at,
                "delay_p50_ms": percentiles[49],
                "delay_p95_ms": percentiles[94],
                "delay_p99_ms": percentiles[98],
            }
        )
    )


if __name__ == "__main__":
    logbook.NullHandler().push_application()
    trio.run(_main, sys.argv[1], int(sys.argv[2]), int(sys.argv[3]))
