"""An engine fails requests that it has run, and answers them with 503.

The route's streams may not be resumed, so they are non-idempotent.  One
engine begins to run each request and then answers some of them with a 503
that lacks `X-Not-Executed`.  A caller that gets 503, 429, 408 or 421 for such
a request takes it as a promise that it has not run, and sends it once more.
"""

import asyncio
import random

from stand_ins_2.configs import make_config
from stand_ins_2.configs import make_route
from stand_ins_2.engines import ModelEngine
from stand_ins_2.engines import make_model_service
from stand_ins_2.gateways import Gateway
from stand_ins_2.messages import Message
from stand_ins_2.messages import write_head
from stand_ins_2.runner import Deployment
from stand_ins_2.runner import UnfitError
from stand_ins_2.runner import run_case

_LAYERS = 16
_KIND, _MEMORY_MB = "h100", 72_000
# The statuses that promise that a request has not run.
_PROMISES = (408, 421, 429, 503)
# Share of the requests that the faulty engine fails.
_FAILED_SHARE = 0.4
_ENGINES = 7
_WARM_UP = 6
_REQUESTS = 60
_HEADERS = {
    "X-Model": "m",
    "X-Token-Usage": "760,170",
    "X-Prefix-Hash": "a1:40,b2:720",
}


class _GreyEngine(ModelEngine):
    """An engine whose health is good and which fails some requests.

    :param failing: whether it does.
    """

    failing = False
    rng = random.Random(66)

    async def run_request(
        self, request: Message, name: str, writer: asyncio.StreamWriter
    ) -> None:
        """Run a request, and fail some when they have begun."""
        if not self.failing or self.rng.random() >= _FAILED_SHARE:
            await super().run_request(request, name, writer)
            return
        now = self.record.write(f"engine {self.name} runs {name} and fails it")
        self.runs.append((now, name))
        await asyncio.sleep(0.1)
        head = {
            "X-Response-Stamp": f"{self.name}.s",
            "X-Request-Id": name,
            "Content-Length": "5",
        }
        writer.write(write_head("HTTP/1.1 503 X", head) + b"error")
        await writer.drain()


async def _call(gateways: list[Gateway], number: int) -> list[str]:
    """Send a request, and once more after a promise; return the refused."""
    refused = []
    for attempt in range(2):
        name = f"note-{number}-{attempt}"
        gateway = gateways[(number + attempt) % len(gateways)]
        answer = await gateway.call(
            "POST",
            "/note/x",
            name,
            deadline_ms=8000,
            headers=_HEADERS,
            body=f"note {number}".encode(),
        )
        if answer is None or answer.status not in _PROMISES:
            break
        refused.append(name)
        await asyncio.sleep(float(answer.headers.get("retry-after", "0.1")))
    return refused


async def _play(deployment: Deployment) -> list[str]:
    store, record = deployment.store, deployment.record
    route = make_route(
        "note",
        "/note/",
        "streaming",
        "small",
        timeout_ms=8000,
        resumable=False,
    )
    service = make_model_service("small", _LAYERS, {_KIND: _MEMORY_MB})
    store.put("config", "main", make_config(7, [route], [service]))
    engines = [
        _GreyEngine(
            f"i-{number}",
            "small",
            store,
            record,
            kind=_KIND,
            memory_mb=_MEMORY_MB,
        )
        for number in range(_ENGINES)
    ]
    for engine in engines:
        await engine.start()
    await deployment.start_gateways()
    await asyncio.sleep(6.0)
    for number in range(-_WARM_UP, 0):
        if await _call(deployment.gateways, number):
            raise UnfitError("a request was refused before the fault")
    # The engine that is used most; nothing else is chosen for it.
    grey = max(engines, key=lambda engine: len(engine.runs))
    grey.failing = deployment.trouble
    refused: list[str] = []
    for number in range(_REQUESTS):
        refused += await _call(deployment.gateways, number)
    await asyncio.sleep(1.0)
    ran = {name for engine in engines for _, name in engine.runs}
    record.write(f"{len(refused)} attempts were refused: {refused}")
    return [
        f"REFUSED: {name} was refused as not run, and an engine ran it"
        for name in refused
        if name in ran
    ]


run_case(__file__, 2, _play)
