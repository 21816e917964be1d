"""Taking idempotency keys at the agent that owns them."""

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

__all__ = ["KeyKeeper", "KeyRequest", "Vouchers"]

_VERSION_WAIT = 2.0


class Vouchers(Protocol):
    """Asks the former owner of a key."""

    async def ask_former_owner(
        self, target: str, request: messages.Vouch
    ) -> bool | None:
        """Return whether it saw the key, or None when it cannot say."""


@dataclass(frozen=True)
class KeyRequest:
    """A request that wants to take a key.

    :param digest: tells a key that is used for another request.
    :param patience: seconds to wait for an earlier try that still runs.
    """

    request: bytes
    service: str
    account: str
    key: str
    digest: bytes
    patience: float
    configuration_version: int

    @property
    def table_key(self) -> str:
        """The key's name among those of all accounts and services."""
        return f"{self.account}\0{self.service}\0{self.key}"


class KeyKeeper:
    """The keys that one agent owns.

    :param name: the agent's target.
    """

    def __init__(
        self,
        name: str,
        vouchers: Vouchers,
        view: View,
        recorder: Recorder,
        *,
        window: float = defaults.KEY_WINDOW,
    ) -> None:
        self.refused_unknown = 0
        self._name = name
        self._vouchers = vouchers
        self._view = view
        self._recorder = recorder
        self._window = window
        self._table = keys.KeyTable(window=window)
        self._ownerships: dict[str, keys.Ownership] = {}
        self._contact: float | None = None
        self._claims: dict[bytes, tuple[wire.Connection, keys.KeyUse]] = {}
        view.listen(self._note_configuration)
        self._note_configuration()

    @property
    def held(self) -> int:
        """How many keys are remembered."""
        return len(self._table)

    def note_contact(self) -> None:
        """Note that an entry connected; only the first time counts.

        From then on keys may arrive.  The time is not read before, since
        the entry's hello moves our clock forward if it is behind: a start
        that looks too early would let a key that this agent's predecessor
        ran pass as newer, and run again.
        """
        if self._contact is None:
            self._contact = self._recorder.clock.seconds()

    def read_contact(self) -> float:
        """Return when the first entry connected, or now before that."""
        if self._contact is None:
            return self._recorder.clock.seconds()
        return self._contact

    # Taking keys.

    async def take(self, request: KeyRequest) -> keys.KeyUse:
        """Take a key, or return what an earlier try of it led to.

        :returns: a use whose ``done`` is not set when the caller is to run
            the request, and one with a record when it ran before.
        :raises magnoliacove.errors.RequestError: when the key may not run;
            the outcome tells whether it may have run earlier.
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
                # Another try came while the former owner was asked.
                continue
            if self._table.full:
                raise errors.RequestError(
                    "overloaded",
                    "too many idempotency keys are remembered here",
                    retry_after=5.0,
                )
            return self._table.begin(request.table_key, request.digest)

    def cancel(self, use: keys.KeyUse) -> None:
        """Free a key whose request surely did not run."""
        self._table.cancel(use)

    def finish(self, use: keys.KeyUse, record: Any, size: int) -> None:
        """Note that a key's request ran, and its answer if it is known."""
        self._table.finish(use, record, size)

    async def _require_owned(self, request: KeyRequest) -> keys.Ownership:
        current = await self._view.wait_version(
            request.configuration_version, _VERSION_WAIT
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
        """Wait for an earlier try; return False if its key is free again."""
        if use.digest != request.digest:
            raise errors.RequestError(
                "key_reused",
                "the idempotency key was used for another request; use a "
                "new key for each request",
                status=422,
            )
        with trio.move_on_after(request.patience):
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
        verdict, former = ownership.judge(request.key)
        if verdict is keys.Verdict.MAY_HAVE_RUN:
            self._raise_unknown(
                request,
                "this instance started after the key may have been used",
            )
        for target in former:
            await self._ask(request, target)

    async def _await_mint_time(
        self, request: KeyRequest, ownership: keys.Ownership
    ) -> None:
        """Wait until the time at which a key says that it was minted.

        A caller's clock may be ahead of ours.  Run at once, its key would
        count as newer than a change of owner that is still to come, and
        the next owner would run it again.
        """
        lead = ownership.lead(request.key)
        if lead > defaults.MAX_KEY_LEAD:
            raise errors.RequestError(
                "key_from_future",
                f"the idempotency key was minted by a clock {lead:.0f} s "
                "ahead of ours; set the clock right and mint a new key",
                status=400,
            )
        while lead > 0:
            await trio.sleep(lead)
            lead = ownership.lead(request.key)

    async def _ask(self, request: KeyRequest, target: str) -> None:
        question = messages.Vouch(
            request.request,
            request.service,
            request.account,
            request.key,
            self._view.version,
        )
        seen = await self._vouchers.ask_former_owner(target, question)
        if seen is None:
            self._raise_unknown(
                request, f"the former owner {target} is silent"
            )
        if seen:
            self._raise_unknown(request, f"the former owner {target} saw it")

    def _raise_unknown(self, request: KeyRequest, why: str) -> None:
        self.refused_unknown += 1
        self._recorder.record(
            "key-unknown", request=request.request, key=request.key, why=why
        )
        raise errors.RequestError(
            "may_have_run",
            f"an earlier try with this key may have run: {why}. Look the "
            "result up before you use a new key; keys that are UUIDs of "
            "version 7 or ULIDs are refused least",
            status=409,
            outcome=errors.Outcome.MAY_HAVE_RUN,
        )

    # Claims of entries, for requests to models.

    async def claim(
        self, connection: wire.Connection, claim: messages.Claim
    ) -> None:
        """Take a key for an entry that runs the request itself."""
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
            use = await self.take(request)
        except errors.RequestError as why:
            _post(connection, make_refusal(claim.request, why))
            return
        if use.done.is_set():
            _post(
                connection, messages.Claimed(claim.request, True, use.record)
            )
            return
        self._claims[claim.request] = (connection, use)
        if connection.closed:
            self.note_entry_lost(connection)
            return
        _post(connection, messages.Claimed(claim.request))

    def finish_claim(self, done: messages.ClaimDone) -> None:
        """Note what became of a claimed key's request."""
        found = self._claims.pop(done.request, None)
        if found is None:
            return
        if not done.ran:
            self.cancel(found[1])
            return
        self.finish(found[1], done.record or None, len(done.record))

    def note_entry_lost(self, connection: wire.Connection) -> None:
        """Give up the claims of an entry whose connection ended.

        Nobody will say any more what became of them, so a later try is
        told that the request may have run.
        """
        for name, (source, use) in tuple(self._claims.items()):
            if source is connection:
                del self._claims[name]
                self.finish(use, None, 0)

    # Vouching.

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
        name = f"{request.account}\0{request.service}\0{request.key}"
        seen = self._table.find(name) is not None
        if not seen:
            # A young agent may have forgotten it with its predecessor.
            verdict, _ = ownership.judge(request.key)
            seen = verdict is keys.Verdict.MAY_HAVE_RUN
        _post(connection, messages.Vouched(request.request, seen))

    # Ownership.

    def _note_configuration(self) -> None:
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
                    self.read_contact,
                    self._recorder.clock.seconds,
                    window=self._window,
                )
            self._ownerships[name].note_targets(
                frozenset(targets), pristine=self._saw_creation(name)
            )

    def _saw_creation(self, service: str) -> bool:
        first = self._view.first_stored
        held = self._view.document.held[(configuration.Service.kind, service)]
        return first is not None and held.created > first


def make_refusal(request: bytes, why: errors.RequestError) -> messages.Refused:
    """Return the message that carries an error to an entry."""
    return messages.Refused(
        request,
        0,
        why.outcome,
        why.code,
        str(why),
        int((why.retry_after or 0) * 1000),
        why.status,
    )


def _post(connection: wire.Connection, message: messages.Message) -> None:
    try:
        connection.post(message)
    except errors.PeerError:
        # The entry is gone.  Its caller's next try comes through another.
        return
