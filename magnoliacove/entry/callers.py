"""The ASGI application of an entry that serves callers."""

from collections.abc import Awaitable
from collections.abc import Callable
import hashlib
import json
import math
import os
import time
from typing import Any
from urllib.parse import quote

import trio

from magnoliacove import configuration
from magnoliacove import defaults
from magnoliacove import errors
from magnoliacove import web
from magnoliacove.directory import View
from magnoliacove.entry import openai
from magnoliacove.entry.accounts import Accounts
from magnoliacove.entry.claims import KeyClaim
from magnoliacove.entry.exchange import Exchange
from magnoliacove.entry.exchange import read_key
from magnoliacove.entry.exchange import run_while_connected
from magnoliacove.entry.pipelines import Pipelines
from magnoliacove.entry.plain_answers import AnswerForwarder
from magnoliacove.entry.pool import TargetPool
from magnoliacove.entry.service_runner import ServiceRunner
from magnoliacove.limits.caller_memory import Content
from magnoliacove.limits.caller_memory import make_caller_memory
from magnoliacove.metrics import Meters
from magnoliacove.timeline import Recorder
from magnoliacove.wire import messages

__all__ = ["CallersApp", "make_request_id"]

_EVENT_STREAM = (b"content-type", b"text/event-stream; charset=utf-8")
_SERVICES = "/services/"
_PIPELINES = "/pipelines/"


def make_request_id() -> bytes:
    """Return a new, time-ordered request ID of 16 bytes.

    The last byte is 0; it is reserved for the number of an attempt.
    """
    milliseconds = time.time_ns() // 1_000_000
    return milliseconds.to_bytes(6, "big") + os.urandom(9) + b"\0"


class CallersApp:
    """Serves requests to models, plain services and pipelines.

    :param is_leaving: returns whether the entry is draining.
    :param memory_mb: memory that the process may use.
    """

    def __init__(
        self,
        view: View,
        pool: TargetPool,
        runner: ServiceRunner,
        recorder: Recorder,
        meters: Meters,
        is_leaving: Callable[[], bool],
        memory_mb: int = defaults.PROCESS_MEMORY_MB,
    ) -> None:
        self.in_progress = 0
        # The server keeps the connections; only bodies are counted.
        self.memory = make_caller_memory(memory_mb)
        self.start_soon: Callable[..., object] = (
            trio.lowlevel.spawn_system_task
        )
        self._view = view
        self._pool = pool
        self._recorder = recorder
        self._meters = meters
        self._runner = runner
        self._accounts = Accounts(view)
        self._pipelines = Pipelines(view, runner, self._accounts.find_service)
        self._is_leaving = is_leaving

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one request."""
        if scope["type"] == "lifespan":
            await web.serve_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        with self.memory.allocate(Content.REQUESTS) as allocation:
            await self._serve_counted(
                Exchange(scope, receive, send, make_request_id(), allocation)
            )

    async def _serve_counted(self, exchange: Exchange) -> None:
        self.in_progress += 1
        began = trio.current_time()
        try:
            await self._serve(exchange)
            result = "ok"
        except errors.RequestError as exc:
            result = exc.code
            await self._answer_error(exchange, exc)
        finally:
            self.in_progress -= 1
        self._meters.count("requests_total", result=result)
        self._meters.observe(
            "request_duration_seconds", trio.current_time() - began
        )

    async def _serve(self, exchange: Exchange) -> None:
        path, method = exchange.scope["path"], exchange.scope["method"]
        if path == "/healthz":
            await exchange.answer(200, b'{"alive": true}')
            return
        if path == "/readyz":
            await self._answer_ready(exchange)
            return
        account = self._accounts.authenticate(exchange)
        if path == "/v1/models" and method == "GET":
            await self._answer_models(exchange, account)
        elif path == "/v1/chat/completions" and method == "POST":
            await self._serve_model(exchange, account, chat=True)
        elif path == "/v1/completions" and method == "POST":
            await self._serve_model(exchange, account, chat=False)
        elif path.startswith(_SERVICES):
            await self._serve_plain(exchange, account)
        elif path.startswith(_PIPELINES) and method == "POST":
            name = path.removeprefix(_PIPELINES)
            await self._pipelines.serve(name, exchange, account)
        else:
            raise errors.RequestError(
                "not_found",
                f"{method} {path} is not served; see the callers' API page",
                status=404,
            )

    async def _answer_ready(self, exchange: Exchange) -> None:
        ready = self._view.version > 0 and not self._is_leaving()
        body = json.dumps({"ready": ready}).encode()
        await exchange.answer(200 if ready else 503, body)

    async def _answer_error(
        self, exchange: Exchange, exc: errors.RequestError
    ) -> None:
        self._recorder.record(
            "request-failed",
            request=exchange.request_id,
            why=f"{exc.code}: {exc}",
            outcome=exc.outcome,
            status=exc.status,
        )
        if exc.code == "gone":
            return
        if exchange.started:
            # The status has already been sent; an unfinished body shows
            # the caller that the response is incomplete.
            raise ConnectionAbortedError(str(exc))
        headers = [(b"x-outcome", exc.outcome.value.encode())]
        if self._is_leaving() and exchange.may_close:
            # The caller's next request goes to another entry.
            headers.append((b"connection", b"close"))
        if exc.retry_after is not None:
            seconds = str(math.ceil(exc.retry_after)).encode()
            headers.append((b"retry-after", seconds))
        body = json.dumps(openai.write_error(exc)).encode()
        await exchange.answer(exc.status, body, tuple(headers))

    async def _answer_models(
        self, exchange: Exchange, account: configuration.ClientAccount
    ) -> None:
        data = [
            {"id": s.name, "object": "model", "owned_by": "operator"}
            for s in self._view.document.list_items(configuration.Service)
            if s.form == "model"
            and (not account.services or s.name in account.services)
        ]
        body = json.dumps({"object": "list", "data": data}).encode()
        await exchange.answer(200, body)

    # Models.

    async def _serve_model(
        self,
        exchange: Exchange,
        account: configuration.ClientAccount,
        *,
        chat: bool,
    ) -> None:
        body = await exchange.read_body()
        request = openai.read_request(body, chat=chat)
        service = self._accounts.find_service(account, request.model, "model")
        writer = openai.AnswerWriter(request, exchange.request_id.hex())
        texts: list[bytes] = []
        ended = False

        async def emit(text: bytes, end: bool) -> None:
            nonlocal ended
            ended = ended or end
            texts.append(text)
            if not request.stream:
                return
            part = writer.write_token(text)
            if not exchange.started:
                await exchange.start(200, [_EVENT_STREAM])
                part = writer.write_role() + part
            await exchange.write(part, more=True)

        async def run() -> None:
            await self._run_with_key(
                exchange, account, service, request, body, emit
            )

        try:
            await run_while_connected(exchange, run)
        except errors.RequestError as exc:
            if not exchange.started or exc.code == "gone":
                raise
            await self._end_stream(exchange, exc)
            return
        reason = "stop" if ended else "length"
        if request.stream:
            end = writer.write_end(reason, len(texts))
            await exchange.write(end, more=False)
        else:
            await exchange.answer(200, writer.write_whole(texts, reason))

    async def _end_stream(
        self, exchange: Exchange, exc: errors.RequestError
    ) -> None:
        """End a stream with an error event that standard clients raise."""
        self._recorder.record(
            "request-failed",
            request=exchange.request_id,
            why=f"{exc.code}: {exc}",
            outcome=exc.outcome,
        )
        data = json.dumps(openai.write_error(exc)).encode()
        await exchange.write(b"data: " + data + b"\n\n", more=False)

    async def _run_with_key(
        self,
        exchange: Exchange,
        account: configuration.ClientAccount,
        service: configuration.Service,
        request: openai.ModelRequest,
        body: bytes,
        emit: Callable[[bytes, bool], Awaitable[None]],
    ) -> None:
        """Run a request to a model, at most once for its idempotency key.

        This applies only to services that are configured as not idempotent
        for the path: most requests to models may run again, and a claim
        costs a message to the key's owner.
        """
        key = read_key(exchange)
        path = exchange.scope["path"]
        if not key or service.is_idempotent("POST", path):
            await self._runner.run_model(
                exchange.request_id, account, service, request, emit
            )
            return
        claim = KeyClaim(
            messages.Claim(
                exchange.request_id,
                service.name,
                account.name,
                key,
                hashlib.blake2b(body, digest_size=16).digest(),
                int(service.deadline * 1000),
                self._view.version,
            ),
            self._view,
            self._pool,
        )
        record = await claim.take()
        if record is not None:
            for text, end in json.loads(record):
                await emit(text.encode(), end)
            return

        async def run() -> None:
            await self._run_claimed(
                exchange, account, service, request, claim, emit
            )

        await self._run_detached(run)

    async def _run_detached(self, run: Callable[[], Awaitable[None]]) -> None:
        """Run to completion even if the caller disconnects.

        The caller's next attempt with the same key must find the answer,
        because the request must not run again.
        """
        done = trio.Event()
        failures: list[errors.RequestError] = []

        async def run_and_signal() -> None:
            self.in_progress += 1
            try:
                await run()
            except errors.RequestError as exc:
                failures.append(exc)
            finally:
                self.in_progress -= 1
                done.set()

        self.start_soon(run_and_signal)
        await done.wait()
        if failures:
            raise failures[0]

    async def _run_claimed(
        self,
        exchange: Exchange,
        account: configuration.ClientAccount,
        service: configuration.Service,
        request: openai.ModelRequest,
        claim: KeyClaim,
        emit: Callable[[bytes, bool], Awaitable[None]],
    ) -> None:
        texts: list[tuple[str, bool]] = []
        outcome = errors.Outcome.MAY_HAVE_RUN

        async def record_token(text: bytes, end: bool) -> None:
            texts.append((text.decode("utf-8", "replace"), end))
            await emit(text, end)

        record = b""
        try:
            await self._runner.run_model(
                exchange.request_id, account, service, request, record_token
            )
            record = json.dumps(texts).encode()
            outcome = errors.Outcome.RAN
        except errors.RequestError as exc:
            outcome = exc.outcome
            raise
        finally:
            claim.finish(outcome, record)

    # Plain services.

    async def _serve_plain(
        self, exchange: Exchange, account: configuration.ClientAccount
    ) -> None:
        suffix = exchange.scope["path"].removeprefix(_SERVICES)
        name, _, path = suffix.partition("/")
        service = self._accounts.find_service(account, name, "plain")
        query = exchange.scope["query_string"].decode("latin-1")
        full_path = quote("/" + path) + (f"?{query}" if query else "")
        body = await exchange.read_body()

        async def run() -> None:
            with exchange.open_answer() as allocation:
                forwarder = AnswerForwarder(exchange, allocation)
                await self._runner.run_plain(
                    exchange,
                    account,
                    service,
                    full_path,
                    body,
                    forwarder.forward,
                )

        await run_while_connected(exchange, run)
