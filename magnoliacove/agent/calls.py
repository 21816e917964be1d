"""Calls to a plain service: admission, at most once, answers in parts."""

from collections.abc import Callable
import hashlib
from typing import Protocol

import trio

from magnoliacove import configuration
from magnoliacove import defaults
from magnoliacove import errors
from magnoliacove import targets
from magnoliacove import wire
from magnoliacove.agent import keys
from magnoliacove.directory import View
from magnoliacove.timeline import Recorder
from magnoliacove.wire import messages

__all__ = ["CallRunner", "Vouchers"]

_PART = 64 * 1024
_VERSION_WAIT = 2.0
_SMOOTHING = 0.2


class Vouchers(Protocol):
    """Asks the former owner of a key."""

    async def ask_former_owner(
        self, target: str, request: messages.Vouch
    ) -> bool | None:
        """Return whether it saw the key, or None when it cannot say."""


class CallRunner:
    """The calls to one plain service's instance.

    :param name: the target's name.
    """

    def __init__(
        self,
        name: str,
        target: targets.PlainTarget,
        vouchers: Vouchers,
        view: View,
        recorder: Recorder,
        is_leaving: Callable[[], bool],
        *,
        most_calls: int = defaults.CALLS_PER_TARGET,
        window: float = defaults.KEY_WINDOW,
    ) -> None:
        self.runs = 0
        self.call_seconds = 0.0
        self.refused_unknown = 0
        self._name = name
        self._target = target
        self._vouchers = vouchers
        self._view = view
        self._recorder = recorder
        self._is_leaving = is_leaving
        self._most_calls = most_calls
        self._window = window
        self._running: dict[bytes, trio.CancelScope] = {}
        self._table = keys.KeyTable(window=window)
        self._ownerships: dict[str, keys.Ownership] = {}
        self._started = recorder.clock.seconds()
        self._first_version = True
        view.listen(self._note_configuration)
        self._note_configuration()

    @property
    def load(self) -> messages.Load:
        """What this agent reports of its load."""
        return messages.Load(
            len(self._running),
            max(0, len(self._running) - self._most_calls),
            int(self.call_seconds * 1e6),
            self._is_leaving(),
        )

    @property
    def running(self) -> int:
        """How many calls are in progress."""
        return len(self._running)

    # Ownership of keys.

    def _note_configuration(self) -> None:
        document = self._view.document
        if not document.version:
            return
        by_service: dict[str, set[str]] = {}
        for service in document.list_items(configuration.Service):
            by_service[service.name] = set()
        for target in document.list_items(configuration.Target):
            if target.state == "active":
                by_service[target.service].add(target.name)
        for service_name, names in by_service.items():
            ownership = self._ownerships.get(service_name)
            if ownership is None:
                ownership = keys.Ownership(
                    self._name,
                    self._started,
                    self._recorder.clock.seconds,
                    window=self._window,
                )
                self._ownerships[service_name] = ownership
            ownership.note_targets(frozenset(names), first=self._first_version)
        self._first_version = False

    async def vouch(
        self, connection: wire.Connection, request: messages.Vouch
    ) -> None:
        """Tell a key's new owner whether it ever ran here.

        The answer waits until this agent has the asker's configuration:
        from then on it refuses the key itself.
        """
        current = await self._view.wait_version(
            request.configuration_version, _VERSION_WAIT
        )
        ownership = self._ownerships.get(request.service)
        if not current or ownership is None or ownership.owns(request.key):
            return
        table_key = _table_key(request)
        seen = self._table.find(table_key) is not None
        # A young agent may have forgotten a key with its predecessor.
        if not seen:
            verdict, _ = ownership.judge(request.key)
            seen = verdict is keys.Verdict.MAY_HAVE_RUN
        connection.post(messages.Vouched(request.request, seen))

    # Calls.

    def cancel(self, request: bytes) -> None:
        """Stop a call that nobody waits for."""
        scope = self._running.get(request)
        if scope is not None:
            scope.cancel()

    async def run(
        self, connection: wire.Connection, call: messages.Call
    ) -> None:
        """Run one call and send its answer."""
        try:
            if call.idempotent or not call.key:
                await self._run_plain(connection, call)
            else:
                await self._run_keyed(connection, call)
        except errors.RequestError as why:
            self._refuse(connection, call, why)
        except errors.PeerError:
            # The entry is gone.  Its caller asks again through another
            # one, and finds a keyed answer here.
            return

    async def _run_plain(
        self, connection: wire.Connection, call: messages.Call
    ) -> None:
        self._admit(call)
        with trio.CancelScope() as scope:
            self._running[call.request] = scope
            try:
                parts = await self._pass_on(call, connection.send)
            finally:
                del self._running[call.request]
        if scope.cancelled_caught:
            return
        self._recorder.record(
            "call-ran", request=call.request, status=parts[0].status
        )

    async def _run_keyed(
        self, connection: wire.Connection, call: messages.Call
    ) -> None:
        current = await self._view.wait_version(
            call.configuration_version, _VERSION_WAIT
        )
        ownership = self._ownerships.get(call.service)
        if not current or ownership is None or not ownership.owns(call.key):
            raise errors.RequestError(
                "not_owner",
                "this instance does not own the idempotency key at its "
                "configuration version; the entry asks the owner",
                retry_after=1.0,
            )
        table_key = _table_key(call)
        digest = _digest(call)
        while True:
            use = self._table.find(table_key)
            if use is None:
                break
            if await self._repeat(connection, call, use, digest):
                return
        await self._require_unused(call, ownership)
        if self._table.find(table_key) is not None:
            # Another try of the same key came while the former owner was
            # asked.
            await self._run_keyed(connection, call)
            return
        self._admit(call)
        if self._table.full:
            raise errors.RequestError(
                "overloaded",
                "too many idempotency keys are remembered here",
                retry_after=5.0,
            )
        use = self._table.begin(table_key, digest)
        # The call goes on when the entry dies: half a bid cannot be taken
        # back, and the caller's next try must find the whole answer.
        await self._run_once(connection, call, use)

    async def _run_once(
        self,
        connection: wire.Connection,
        call: messages.Call,
        use: keys.KeyUse,
    ) -> None:
        self._running[call.request] = trio.CancelScope()
        parts: list[messages.Answer] = []

        async def note(part: messages.Answer) -> None:
            parts.append(part)

        try:
            await self._pass_on(call, note)
        except errors.RequestError as why:
            if why.outcome is errors.Outcome.NOT_RUN:
                self._table.cancel(use)
            else:
                self._table.finish(use, None)
            raise
        finally:
            del self._running[call.request]
        self._table.finish(use, tuple(parts))
        self._recorder.record(
            "call-ran",
            request=call.request,
            status=parts[0].status,
            key=call.key,
        )
        for part in parts:
            await connection.send(part)

    async def _repeat(
        self,
        connection: wire.Connection,
        call: messages.Call,
        use: keys.KeyUse,
        digest: bytes,
    ) -> bool:
        """Answer a key that was used before; return False if it is free."""
        if use.digest != digest:
            raise errors.RequestError(
                "key_reused",
                "the idempotency key was used for another request; use a "
                "new key for each request",
                status=422,
            )
        with trio.move_on_after(call.deadline / 1000):
            await use.done.wait()
        if self._table.find(use.key) is not use:
            return False
        if use.answer is None:
            self._recorder.record(
                "key-unknown-outcome", request=call.request, key=call.key
            )
            raise errors.RequestError(
                "may_have_run",
                "an earlier try with this key ran, or may have; its answer "
                "is not held. Look the result up before you use a new key",
                status=409,
                outcome=errors.Outcome.MAY_HAVE_RUN,
            )
        self._recorder.record(
            "key-replayed", request=call.request, key=call.key
        )
        for part in use.answer:
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
        return True

    async def _require_unused(
        self, call: messages.Call, ownership: keys.Ownership
    ) -> None:
        verdict, former = ownership.judge(call.key)
        if verdict is keys.Verdict.TOO_EARLY:
            raise errors.RequestError(
                "key_from_future",
                "the idempotency key was minted by a clock that is ahead "
                "of ours; set the clock right and mint a new key",
                status=400,
            )
        if verdict is keys.Verdict.ASK:
            for target in former:
                await self._ask(call, target)
            return
        if verdict is keys.Verdict.MAY_HAVE_RUN:
            self._raise_unknown(
                call, "this instance started after the key may have been used"
            )

    async def _ask(self, call: messages.Call, target: str) -> None:
        request = messages.Vouch(
            call.request,
            call.service,
            call.account,
            call.key,
            self._view.version,
        )
        seen = await self._vouchers.ask_former_owner(target, request)
        if seen is None:
            self._raise_unknown(call, f"the former owner {target} is silent")
        if seen:
            self._raise_unknown(call, f"the former owner {target} saw it")

    def _raise_unknown(self, call: messages.Call, why: str) -> None:
        self.refused_unknown += 1
        self._recorder.record(
            "key-unknown", request=call.request, key=call.key, why=why
        )
        raise errors.RequestError(
            "may_have_run",
            f"an earlier try with this key may have run: {why}. Look the "
            "result up before you use a new key; keys that are UUIDs of "
            "version 7 or ULIDs are refused least",
            status=409,
            outcome=errors.Outcome.MAY_HAVE_RUN,
        )

    def _admit(self, call: messages.Call) -> None:
        if self._is_leaving():
            raise errors.RequestError(
                "draining", "this instance leaves", retry_after=1.0
            )
        if len(self._running) >= self._most_calls:
            raise errors.RequestError(
                "overloaded", "this instance is full", retry_after=1.0
            )

    async def _pass_on(
        self,
        call: messages.Call,
        send: Callable[[messages.Answer], object],
    ) -> list[messages.Answer]:
        started = trio.current_time()
        timeout = call.deadline / 1000
        self.runs += 1
        first: list[messages.Answer] = []
        with trio.move_on_after(timeout) as scope:
            async with self._target.call(
                call.method,
                call.path,
                [(header.name, header.value) for header in call.headers],
                call.body,
                timeout,
            ) as answer:
                headers = tuple(messages.Header(*h) for h in answer.headers)
                part = messages.Answer(
                    call.request, answer.status, headers, b"", True
                )
                first.append(part)
                await send(part)  # type: ignore[misc]
                async for chunk in answer.body:
                    for at in range(0, len(chunk), _PART):
                        body = chunk[at : at + _PART]
                        await send(  # type: ignore[misc]
                            messages.Answer(call.request, 0, (), body, True)
                        )
        if scope.cancelled_caught:
            raise errors.RequestError(
                "deadline",
                "the service gave no whole answer before the deadline",
                status=504,
                outcome=errors.Outcome.MAY_HAVE_RUN,
            )
        self._note_time(trio.current_time() - started)
        await send(  # type: ignore[misc]
            messages.Answer(call.request, 0, load=self.load)
        )
        return first

    def _note_time(self, seconds: float) -> None:
        if not self.call_seconds:
            self.call_seconds = seconds
        self.call_seconds += _SMOOTHING * (seconds - self.call_seconds)

    def _refuse(
        self,
        connection: wire.Connection,
        call: messages.Call,
        why: errors.RequestError,
    ) -> None:
        self._recorder.record(
            "call-refused",
            request=call.request,
            target=self._name,
            why=f"{why.code}: {why}",
            outcome=why.outcome,
        )
        refused = messages.Refused(
            call.request,
            0,
            why.outcome,
            why.code,
            str(why),
            int((why.retry_after or 0) * 1000),
            why.status,
        )
        try:
            connection.post(refused)
        except errors.PeerError:
            return


def _table_key(message: messages.Call | messages.Vouch) -> str:
    return f"{message.account}\0{message.service}\0{message.key}"


def _digest(call: messages.Call) -> bytes:
    data = b"\0".join([call.method.encode(), call.path.encode(), call.body])
    return hashlib.blake2b(data, digest_size=16).digest()
