"""Use of idempotency keys at the agent that owns them."""

from dataclasses import dataclass
from typing import Any
from typing import Protocol

import trio

from magnoliacove import configuration
from magnoliacove import defaults
from magnoliacove import errors
from magnoliacove import wire
from magnoliacove.agent import keys
from magnoliacove.directory import View
from magnoliacove.timeline import Recorder
from magnoliacove.wire import messages

__all__ = ["FormerOwners", "KeyRegistry", "KeyRequest"]

# Seconds to wait for the configuration version that a request names.
_VERSION_TIMEOUT = 2.0


class FormerOwners(Protocol):
    """Queries the former owners of keys."""

    async def ask_former_owner(
        self, target: str, request: messages.Vouch
    ) -> bool | None:
        """Return whether the target saw the key, or None if unknown."""


@dataclass(frozen=True)
class KeyRequest:
    """A request to acquire an idempotency key.

    :param digest: the digest of the request; detects a key that is reused
        for another request.
    :param timeout: seconds to wait for an earlier attempt that still runs.
    """

    request: bytes
    service: str
    account: str
    key: str
    digest: bytes
    timeout: float
    configuration_version: int

    @property
    def table_key(self) -> str:
        """The key, made unique across accounts and services."""
        return f"{self.account}\0{self.service}\0{self.key}"


class KeyRegistry:
    """The idempotency keys that one agent owns.

    :param name: the agent's target.
    :param former_owners: queries the agents that owned a key earlier.
    :param window: seconds for which a key is remembered.
    """

    def __init__(
        self,
        name: str,
        former_owners: FormerOwners,
        view: View,
        recorder: Recorder,
        *,
        window: float = defaults.KEY_WINDOW,
    ) -> None:
        self.unknown_refusals = 0
        self._name = name
        self._former_owners = former_owners
        self._view = view
        self._recorder = recorder
        self._window = window
        self._table = keys.KeyTable(window=window)
        self._ownerships: dict[str, keys.Ownership] = {}
        self._first_contact: float | None = None
        self._claims: dict[bytes, tuple[wire.Connection, keys.KeyUse]] = {}
        view.listen(self._update_configuration)
        self._update_configuration()

    @property
    def key_count(self) -> int:
        """The number of keys that are remembered."""
        return len(self._table)

    def record_first_contact(self) -> None:
        """Record the time at which the first entry connects.

        Later calls have no effect.  Keys may arrive from the first
        connection on.  The time is not read earlier because the entry's
        hello moves this agent's clock forward if it is behind.  With a
        start time that is too early, a key that this agent's predecessor
        ran would count as newer than the start and run again.
        """
        if self._first_contact is None:
            self._first_contact = self._recorder.clock.seconds()

    def get_first_contact(self) -> float:
        """Return when the first entry connected; before that, the time now."""
        if self._first_contact is None:
            return self._recorder.clock.seconds()
        return self._first_contact

    # Acquiring keys.

    async def acquire(self, request: KeyRequest) -> keys.KeyUse:
        """Acquire a key, or return the result of an earlier attempt.

        :returns: a use whose ``done`` is not set if the caller has to run
            the request, or one with a record if the request ran before.
        :raises magnoliacove.errors.RequestError: if the request must not
            run; the outcome states whether it may have run earlier.
        """
        ownership = await self._require_owned(request)
        while True:
            use = self._table.find(request.table_key)
            if use is not None:
                if await self._await_earlier(request, use):
                    return use
                continue
            await self._require_unused(request, ownership)
            if self._table.find(request.table_key) is not None:
                # Another attempt arrived while the former owner was queried.
                continue
            if self._table.full:
                raise errors.RequestError(
                    "overloaded",
                    "too many idempotency keys are remembered here",
                    retry_after=5.0,
                )
            return self._table.begin(request.table_key, request.digest)

    def cancel(self, use: keys.KeyUse) -> None:
        """Release a key whose request is known not to have run."""
        self._table.cancel(use)

    def finish(self, use: keys.KeyUse, record: Any, size: int) -> None:
        """Record that a key's request ran, and its answer if known."""
        self._table.finish(use, record, size)

    async def _require_owned(self, request: KeyRequest) -> keys.Ownership:
        current = await self._view.wait_version(
            request.configuration_version, _VERSION_TIMEOUT
        )
        ownership = self._ownerships.get(request.service)
        if current and ownership is not None and ownership.owns(request.key):
            return ownership
        raise errors.RequestError(
            "not_owner",
            "this instance does not own the idempotency key at its "
            "configuration version; the entry asks the owner",
            retry_after=1.0,
        )

    async def _await_earlier(
        self, request: KeyRequest, use: keys.KeyUse
    ) -> bool:
        """Wait for an earlier attempt; return False if it released the key."""
        if use.digest != request.digest:
            raise errors.RequestError(
                "key_reused",
                "the idempotency key was used for another request; use a "
                "new key for each request",
                status=422,
            )
        with trio.move_on_after(request.timeout):
            await use.done.wait()
        if self._table.find(use.key) is not use:
            return False
        if use.record is None:
            self._raise_unknown(
                request, "its earlier try ran and the answer is not held"
            )
        self._recorder.record(
            "key-replayed", request=request.request, key=request.key
        )
        return True

    async def _require_unused(
        self, request: KeyRequest, ownership: keys.Ownership
    ) -> None:
        await self._await_mint_time(request, ownership)
        decision, former = ownership.decide(request.key)
        if decision is keys.Decision.MAY_HAVE_RUN:
            self._raise_unknown(
                request,
                "this instance started after the key may have been used",
            )
        for target in former:
            await self._require_unused_by(request, target)

    async def _await_mint_time(
        self, request: KeyRequest, ownership: keys.Ownership
    ) -> None:
        """Wait until the mint time that a key contains has passed.

        A caller's clock may be ahead of this agent's clock.  If its key
        ran at once, it would count as newer than a change of owner that is
        still to come, and the next owner would run it again.
        """
        ahead = ownership.get_seconds_ahead(request.key)
        if ahead > defaults.MAX_KEY_LEAD:
            raise errors.RequestError(
                "key_from_future",
                f"the idempotency key was minted by a clock {ahead:.0f} s "
                "ahead of ours; set the clock right and mint a new key",
                status=400,
            )
        while ahead > 0:
            await trio.sleep(ahead)
            ahead = ownership.get_seconds_ahead(request.key)

    async def _require_unused_by(
        self, request: KeyRequest, target: str
    ) -> None:
        question = messages.Vouch(
            request.request,
            request.service,
            request.account,
            request.key,
            self._view.version,
        )
        seen = await self._former_owners.ask_former_owner(target, question)
        if seen is None:
            self._raise_unknown(
                request, f"the former owner {target} is silent"
            )
        if seen:
            self._raise_unknown(request, f"the former owner {target} saw it")

    def _raise_unknown(self, request: KeyRequest, reason: str) -> None:
        self.unknown_refusals += 1
        self._recorder.record(
            "key-unknown", request=request.request, key=request.key, why=reason
        )
        raise errors.RequestError(
            "may_have_run",
            f"an earlier try with this key may have run: {reason}. Look the "
            "result up before you use a new key; keys that are UUIDs of "
            "version 7 or ULIDs are refused least",
            status=409,
            outcome=errors.Outcome.MAY_HAVE_RUN,
        )

    # Claims by entries, for requests to models.

    async def claim(
        self, connection: wire.Connection, claim: messages.Claim
    ) -> None:
        """Acquire a key for an entry that runs the request itself."""
        request = KeyRequest(
            claim.request,
            claim.service,
            claim.account,
            claim.key,
            claim.digest,
            claim.deadline / 1000,
            claim.configuration_version,
        )
        try:
            use = await self.acquire(request)
        except errors.RequestError as exc:
            _post(connection, make_refusal(claim.request, exc))
            return
        if use.done.is_set():
            _post(
                connection, messages.Claimed(claim.request, True, use.record)
            )
            return
        self._claims[claim.request] = (connection, use)
        if connection.closed:
            self.drop_entry(connection)
            return
        _post(connection, messages.Claimed(claim.request))

    def finish_claim(self, done: messages.ClaimDone) -> None:
        """Record the result of a claimed key's request."""
        pending_claim = self._claims.pop(done.request, None)
        if pending_claim is None:
            return
        if not done.ran:
            self.cancel(pending_claim[1])
            return
        self.finish(pending_claim[1], done.record or None, len(done.record))

    def drop_entry(self, connection: wire.Connection) -> None:
        """Finish the claims of an entry whose connection ended.

        The results of the claimed requests will not be reported any more,
        so a later attempt is refused because the request may have run.
        """
        for name, (claimant, use) in tuple(self._claims.items()):
            if claimant is connection:
                del self._claims[name]
                self.finish(use, None, 0)

    # Queries by new owners.

    async def report_use(
        self, connection: wire.Connection, request: messages.Vouch
    ) -> None:
        """Report to a key's new owner whether the key was used here.

        The answer waits until this agent has the configuration of the new
        owner.  From then on this agent refuses the key itself.
        """
        current = await self._view.wait_version(
            request.configuration_version, _VERSION_TIMEOUT
        )
        ownership = self._ownerships.get(request.service)
        if not current or ownership is None or ownership.owns(request.key):
            return
        name = f"{request.account}\0{request.service}\0{request.key}"
        seen = self._table.find(name) is not None
        if not seen:
            # The predecessor of this agent may have run the key if this
            # agent started recently.
            decision, _ = ownership.decide(request.key)
            seen = decision is keys.Decision.MAY_HAVE_RUN
        _post(connection, messages.Vouched(request.request, seen))

    # Ownership.

    def _update_configuration(self) -> None:
        document = self._view.document
        if not document.version:
            return
        owners: dict[str, set[str]] = {
            service.name: set()
            for service in document.list_items(configuration.Service)
        }
        for target in document.list_items(configuration.Target):
            if target.state == "active":
                owners[target.service].add(target.name)
        for name, targets in owners.items():
            if name not in self._ownerships:
                self._ownerships[name] = keys.Ownership(
                    self._name,
                    self.get_first_contact,
                    self._recorder.clock.seconds,
                    window=self._window,
                )
            self._ownerships[name].update_targets(
                frozenset(targets), service_is_new=self._is_service_new(name)
            )

    def _is_service_new(self, service: str) -> bool:
        first = self._view.first_stored_version
        item = self._view.document.held[(configuration.Service.kind, service)]
        return first is not None and item.created > first


def make_refusal(
    request: bytes, error: errors.RequestError
) -> messages.Refused:
    """Return the message that reports an error to an entry."""
    return messages.Refused(
        request,
        0,
        error.outcome,
        error.code,
        str(error),
        int((error.retry_after or 0) * 1000),
        error.status,
    )


def _post(connection: wire.Connection, message: messages.Message) -> None:
    try:
        connection.post(message)
    except errors.PeerError:
        # The connection to the entry is lost.  The caller's next attempt
        # arrives through another entry.
        return
