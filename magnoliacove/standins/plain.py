"""A stand-in plain service that records the requests it ran."""

from collections.abc import AsyncIterator
from collections.abc import Sequence
import contextlib
from dataclasses import dataclass
import json

import trio

from magnoliacove import errors
from magnoliacove import targets
from magnoliacove import web

__all__ = ["PlainFaults", "StandInPlain", "make_app"]


@dataclass
class PlainFaults:
    """The faults that are injected at present.

    :param delay: seconds before each answer.
    :param lost_answers: number of requests that run without an answer.
    :param status: the status of the answers to requests that run.
    """

    delay: float = 0.0
    lost_answers: int = 0
    status: int = 200


class StandInPlain:
    """Answers each request with its content and how often it has run."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.faults = PlainFaults()
        self.runs: list[tuple[str, str, bytes]] = []

    async def run(self, request: web.Request) -> web.Response:
        """Run one request and return its answer."""
        run = (request.method, request.path, request.body)
        self.runs.append(run)
        count = self.runs.count(run)
        if self.faults.delay:
            await trio.sleep(self.faults.delay)
        body = {
            "served_by": self.name,
            "method": request.method,
            "path": request.path,
            "body": request.body.decode("utf-8", "replace"),
            "run": count,
        }
        return web.Response(self.faults.status, json.dumps(body).encode())


class DirectPlainTarget:
    """A target that calls a stand-in plain service without HTTP."""

    def __init__(self, service: StandInPlain) -> None:
        self._service = service

    @contextlib.asynccontextmanager
    async def call(
        self,
        method: str,
        path: str,
        headers: Sequence[tuple[bytes, bytes]],
        body: bytes,
        timeout: float,
    ) -> AsyncIterator[targets.PlainAnswer]:
        """Run a request on the service and yield its answer."""
        response = await self._service.run(
            web.Request(method, path, {}, body, {})
        )
        if self._service.faults.lost_answers:
            self._service.faults.lost_answers -= 1
            raise errors.RequestError(
                "target_failed",
                "the answer is lost on purpose",
                status=502,
                outcome=errors.Outcome.MAY_HAVE_RUN,
            )

        async def iterate_body() -> AsyncIterator[bytes]:
            yield response.body

        yield targets.PlainAnswer(response.status, (), iterate_body())


def make_app(service: StandInPlain) -> web.App:
    """Return an ASGI application that serves a plain service over HTTP.

    ``POST /faults`` with a JSON object sets the given faults, and
    ``GET /runs`` lists the requests that ran.
    """

    async def answer(request: web.Request) -> web.Response:
        if request.path == "/faults":
            for name, value in json.loads(request.body).items():
                setattr(service.faults, name, value)
            return web.Response(200, service.faults.__dict__)
        if request.path == "/runs":
            runs = [[m, p, b.decode()] for m, p, b in service.runs]
            return web.Response(200, runs)
        response = await service.run(request)
        if service.faults.lost_answers:
            service.faults.lost_answers -= 1
            raise ConnectionResetError("the answer is lost on purpose")
        return response

    return web.make_app(answer)
