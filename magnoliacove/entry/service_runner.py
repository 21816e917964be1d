"""Runs requests on services, with admission, limits and event records."""

from collections.abc import Awaitable
from collections.abc import Callable
import math

import trio

from magnoliacove import configuration
from magnoliacove import errors
from magnoliacove import limits
from magnoliacove import routing
from magnoliacove.directory import View
from magnoliacove.entry import openai
from magnoliacove.entry.calls import PlainCall
from magnoliacove.entry.exchange import Exchange
from magnoliacove.entry.exchange import read_key
from magnoliacove.entry.pool import TargetPool
from magnoliacove.entry.stages import StreamRequest
from magnoliacove.entry.streams import Stream
from magnoliacove.metrics import Meters
from magnoliacove.timeline import Recorder
from magnoliacove.wire import messages

__all__ = ["ServiceRunner"]

# Seconds after which a caller may retry, at another entry.
_STOPPED_RETRY = 1.0
_DROPPED_HEADERS = frozenset([b"authorization", b"idempotency-key"])


class ServiceRunner:
    """Runs requests on models and on plain services.

    ``budget`` bounds the retries of all requests together.

    :param chooser: chooses the chains of streams.
    :ivar stops_at: when this process stops, by trio's clock.
    """

    def __init__(
        self,
        view: View,
        pool: TargetPool,
        chooser: routing.ChainChooser,
        recorder: Recorder,
        meters: Meters,
        admission: limits.Admission,
        rates: limits.RateLimit,
    ) -> None:
        self.budget = limits.RetryBudget()
        self.stops_at = math.inf
        self._view = view
        self._pool = pool
        self._chooser = chooser
        self._recorder = recorder
        self._meters = meters
        self._admission = admission
        self._rates = rates

    def require_time(self, seconds: float) -> None:
        """Refuse what may take longer than this process still runs.

        Taken late in a planned stop, it would be cut with no answer.

        :raises magnoliacove.errors.RequestError: when it may.
        """
        if trio.current_time() + seconds <= self.stops_at:
            return
        raise errors.RequestError(
            "draining",
            "this entry stops; the request did not run",
            retry_after=_STOPPED_RETRY,
        )

    async def run_model(
        self,
        request_id: bytes,
        account: configuration.ClientAccount,
        service: configuration.Service,
        request: openai.ModelRequest,
        emit: Callable[[bytes, bool], Awaitable[None]],
    ) -> None:
        """Run a request on a model.

        :param emit: called with each token, and whether it is the last.
        :raises magnoliacove.errors.RequestError: when the request does not
            complete.
        """
        began = trio.current_time()
        deadline = began + service.deadline
        first = True

        async def emit_timed(text: bytes, end: bool) -> None:
            nonlocal first
            if first:
                first = False
                self._meters.observe(
                    "first_token_seconds",
                    trio.current_time() - began,
                    service=service.name,
                )
            await emit(text, end)

        self.require_time(service.deadline)
        self._record_arrival(request_id, account, service)
        stream_request = StreamRequest(
            request_id,
            service.name,
            service.layers,
            account.name,
            request.prompt,
            request.max_tokens,
            service.priority,
            deadline,
            self._view.version,
        )
        async with self._admission.admit(
            account.name, account.weight, service.priority, service.deadline
        ):
            stream = Stream(
                stream_request,
                self._pool,
                self._chooser,
                self.budget,
                self._recorder,
                self._find_address,
            )
            await stream.run(emit_timed)
        self._meters.count(
            "tokens_total", len(stream.tokens), service=service.name
        )
        if stream.resumed:
            self._meters.count("streams_resumed_total", stream.resumed)
        self._recorder.record(
            "request-answered",
            request=request_id,
            tokens=len(stream.tokens),
            attempts=stream.attempt,
            milliseconds=round((trio.current_time() - began) * 1000, 1),
        )

    async def run_plain(
        self,
        exchange: Exchange,
        account: configuration.ClientAccount,
        service: configuration.Service,
        path: str,
        body: bytes,
        send: Callable[[messages.Answer], Awaitable[None]],
    ) -> None:
        """Run a request on a plain service.

        :param path: the path and the query as the service receives them.
        :param send: called with each part of the answer.
        :raises magnoliacove.errors.RequestError: when the call fails.
        """
        self.require_time(service.deadline)
        self._record_arrival(exchange.request_id, account, service)
        began = trio.current_time()
        deadline = began + service.deadline
        method = exchange.scope["method"]
        headers = tuple(
            messages.Header(key, value)
            for key, value in exchange.scope["headers"]
            if key not in _DROPPED_HEADERS
        )
        call = messages.Call(
            exchange.request_id,
            service.name,
            account.name,
            method,
            path,
            headers,
            body,
            0,
            service.is_idempotent(method, path),
            read_key(exchange),
            service.priority,
            self._view.version,
        )
        async with self._admission.admit(
            account.name, account.weight, service.priority, service.deadline
        ):
            with exchange.open_answer() as allocation:
                await PlainCall(
                    call,
                    deadline,
                    allocation,
                    self._pool,
                    self._view,
                    self.budget,
                    self._recorder,
                ).run(send)
        self._recorder.record(
            "request-answered",
            request=exchange.request_id,
            milliseconds=round((trio.current_time() - began) * 1000, 1),
        )

    def _record_arrival(
        self,
        request_id: bytes,
        account: configuration.ClientAccount,
        service: configuration.Service,
    ) -> None:
        self._recorder.record(
            "request-arrived",
            request=request_id,
            account=account.name,
            service=service.name,
        )
        self._rates.check(account.name, account.requests_per_second)
        self.budget.note_request()

    def _find_address(self, name: str) -> str:
        instance = self._view.find_instance(name)
        return instance.address if instance else ""
