"""Calls to a plain service.

Covers admission, at-most-once execution and answers sent in parts.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import hashlib

import trio

from magnoliacove import defaults
from magnoliacove import errors
from magnoliacove import targets
from magnoliacove import wire
from magnoliacove.agent.key_registry import KeyRegistry
from magnoliacove.agent.key_registry import KeyRequest
from magnoliacove.agent.key_registry import make_refusal
from magnoliacove.agent.keys import KeyUse
from magnoliacove.limits.caller_memory import Allocation
from magnoliacove.limits.caller_memory import Content
from magnoliacove.limits.caller_memory import hold_part
from magnoliacove.limits.caller_memory import make_caller_memory
from magnoliacove.timeline import Recorder
from magnoliacove.wire import messages

__all__ = ["CallRunner"]

# Bytes of an answer's body in one message.
_MAX_PART_SIZE = 64 * 1024
# Weight of the newest call in the moving average of call durations.
_SMOOTHING = 0.2

SendPart = Callable[[messages.Answer], Awaitable[None]]


class CallRunner:
    """Runs calls on one instance of a plain service.

    :param name: the target's name.
    :param is_leaving: returns whether new calls are refused.
    :param max_calls: calls that may run at a time.
    """

    def __init__(
        self,
        name: str,
        target: targets.PlainTarget,
        keys: KeyRegistry,
        recorder: Recorder,
        is_leaving: Callable[[], bool],
        *,
        max_calls: int = defaults.CALLS_PER_TARGET,
    ) -> None:
        self.runs = 0
        self.call_seconds = 0.0
        self._name = name
        self._target = target
        self._keys = keys
        self._recorder = recorder
        self._is_leaving = is_leaving
        self._max_calls = max_calls
        self._memory = make_caller_memory()
        self._running: dict[bytes, trio.CancelScope] = {}

    @property
    def load(self) -> messages.Load:
        """The load that this agent reports."""
        return messages.Load(
            len(self._running),
            max(0, len(self._running) - self._max_calls),
            int(self.call_seconds * 1e6),
            self._is_leaving(),
        )

    def cancel(self, request: bytes) -> None:
        """Cancel a call whose caller no longer waits for it."""
        scope = self._running.get(request)
        if scope is not None:
            scope.cancel()

    async def run(
        self, connection: wire.Connection, call: messages.Call
    ) -> None:
        """Run one call and send its answer."""
        try:
            if call.idempotent or not call.key:
                await self._run_unkeyed(connection, call)
            else:
                await self._run_keyed(connection, call)
        except errors.RequestError as exc:
            self._refuse(connection, call, exc)
        except errors.PeerError:
            # The connection to the entry is lost.  The caller retries
            # through another entry, and a call with a key finds its
            # recorded answer here.
            return

    async def _run_unkeyed(
        self, connection: wire.Connection, call: messages.Call
    ) -> None:
        self._admit()
        with trio.CancelScope() as scope:
            self._running[call.request] = scope
            try:
                status = await self._forward(call, connection.send)
            finally:
                del self._running[call.request]
        if scope.cancelled_caught:
            self._recorder.record("call-cancelled", request=call.request)
            return
        self._recorder.record("call-ran", request=call.request, status=status)

    async def _run_keyed(
        self, connection: wire.Connection, call: messages.Call
    ) -> None:
        use = await self._keys.acquire(
            KeyRequest(
                call.request,
                call.service,
                call.account,
                call.key,
                _digest(call),
                call.deadline / 1000,
                call.configuration_version,
            )
        )
        if use.done.is_set():
            await self._replay(connection, call, use)
            return
        try:
            self._admit()
        except errors.RequestError:
            self._keys.cancel(use)
            raise
        await self._run_once(connection, call, use)

    async def _replay(
        self, connection: wire.Connection, call: messages.Call, use: KeyUse
    ) -> None:
        for part in use.record:
            await connection.send(
                messages.Answer(
                    call.request,
                    part.status,
                    part.headers,
                    part.body,
                    part.more,
                    True,
                )
            )

    async def _run_once(
        self, connection: wire.Connection, call: messages.Call, use: KeyUse
    ) -> None:
        """Run a call with a key to its end, even if its entry fails.

        A call that is interrupted halfway cannot be undone, for example
        a bid, and the caller's next attempt must find the whole answer.
        """
        self._running[call.request] = trio.CancelScope()
        with self._memory.allocate(Content.ANSWERS) as allocation:
            try:
                status, parts = await self._collect(call, allocation)
            except errors.RequestError as exc:
                if exc.outcome is errors.Outcome.NOT_RUN:
                    self._keys.cancel(use)
                else:
                    self._keys.finish(use, None, 0)
                raise
            finally:
                del self._running[call.request]
            size = sum(len(part.body) for part in parts)
            self._keys.finish(use, parts, size)
            self._recorder.record(
                "call-ran", request=call.request, status=status, key=call.key
            )
            for part in parts:
                await connection.send(part)

    async def _collect(
        self, call: messages.Call, allocation: Allocation
    ) -> tuple[int, tuple[messages.Answer, ...]]:
        """Run a call and return its status and the parts of its answer.

        :param allocation: the memory of the parts.
        """
        parts: list[messages.Answer] = []

        async def collect(part: messages.Answer) -> None:
            hold_part(allocation, part.body)
            parts.append(part)

        status = await self._forward(call, collect)
        return status, tuple(parts)

    def _admit(self) -> None:
        if self._is_leaving():
            raise errors.RequestError(
                "draining", "this instance leaves", retry_after=1.0
            )
        if len(self._running) >= self._max_calls:
            raise errors.RequestError(
                "overloaded", "this instance is full", retry_after=1.0
            )

    async def _forward(self, call: messages.Call, send: SendPart) -> int:
        """Run a call on the target, send its answer and return the status."""
        started = trio.current_time()
        timeout = call.deadline / 1000
        self.runs += 1
        with trio.move_on_after(timeout) as scope:
            async with self._target.call(
                call.method,
                call.path,
                [(header.name, header.value) for header in call.headers],
                call.body,
                timeout,
            ) as answer:
                headers = tuple(messages.Header(*h) for h in answer.headers)
                await send(
                    messages.Answer(
                        call.request, answer.status, headers, b"", True
                    )
                )
                async for chunk in answer.body:
                    await _send_chunk(call.request, chunk, send)
        if scope.cancelled_caught:
            raise errors.RequestError(
                "deadline",
                "the service gave no whole answer before the deadline",
                status=504,
                outcome=errors.Outcome.MAY_HAVE_RUN,
            )
        self._record_duration(trio.current_time() - started)
        await send(messages.Answer(call.request, 0, load=self.load))
        return answer.status

    def _record_duration(self, seconds: float) -> None:
        if not self.call_seconds:
            self.call_seconds = seconds
        self.call_seconds += _SMOOTHING * (seconds - self.call_seconds)

    def _refuse(
        self,
        connection: wire.Connection,
        call: messages.Call,
        error: errors.RequestError,
    ) -> None:
        self._recorder.record(
            "call-refused",
            request=call.request,
            target=self._name,
            why=f"{error.code}: {error}",
            outcome=error.outcome,
        )
        try:
            connection.post(make_refusal(call.request, error))
        except errors.PeerError:
            return


async def _send_chunk(request: bytes, chunk: bytes, send: SendPart) -> None:
    for start in range(0, len(chunk), _MAX_PART_SIZE):
        body = chunk[start : start + _MAX_PART_SIZE]
        await send(messages.Answer(request, 0, (), body, True))


def _digest(call: messages.Call) -> bytes:
    data = b"\0".join([call.method.encode(), call.path.encode(), call.body])
    return hashlib.blake2b(data, digest_size=16).digest()
