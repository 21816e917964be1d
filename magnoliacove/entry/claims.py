"""Taking an idempotency key for a model's request, at the key's owner."""

import trio

from magnoliacove import configuration
from magnoliacove import errors
from magnoliacove.directory import View
from magnoliacove.entry.pool import PeerChanged
from magnoliacove.entry.pool import TargetPool
from magnoliacove.routing import choose_owner
from magnoliacove.wire import messages

__all__ = ["KeyClaim", "find_owner"]

_TIMEOUT = 5.0
_TRIES = 4
_PAUSE = 0.3


def find_owner(view: View, pool: TargetPool, service: str, key: str) -> str:
    """Return the target that owns a key.

    :raises magnoliacove.errors.RequestError: when it cannot be reached.
    """
    owners = [
        target.name
        for target in view.document.list_items(configuration.Target)
        if target.service == service and target.state == "active"
    ]
    owner = choose_owner(key, owners)
    if pool.find(owner) is None:
        # Another target could not know whether the key ran at its owner,
        # so nobody else may run it.
        raise errors.RequestError(
            "owner_unreachable",
            "the target that owns this idempotency key cannot be reached; "
            "this try did not run. Repeat it with the same key",
            retry_after=2.0,
        )
    return owner


class KeyClaim:
    """One request's claim on its key."""

    def __init__(
        self, claim: messages.Claim, view: View, pool: TargetPool
    ) -> None:
        self._claim = claim
        self._view = view
        self._pool = pool
        self._owner = ""
        self._answer: object = None
        self._arrived = trio.Event()

    # What the pool calls.

    def receive(self, source: str, message: object) -> None:
        """Take a message without waiting."""
        if isinstance(message, PeerChanged) and not message.lost:
            return
        self._answer = message
        self._arrived.set()

    def uses(self, name: str) -> bool:
        """Return whether the claim depends on an agent."""
        return name == self._owner

    def check(self, now: float) -> None:
        """Do nothing: the claim's time ends it."""

    # Claiming.

    async def take(self) -> bytes | None:
        """Take the key; return the record of an earlier try, if any.

        :raises magnoliacove.errors.RequestError: when the request may not
            run.
        """
        for attempt in range(_TRIES):
            try:
                return await self._take_once()
            except errors.RequestError as why:
                # The entry and the owner differ in their configuration
                # for a moment after a change.
                if why.code != "not_owner" or attempt == _TRIES - 1:
                    raise
                await trio.sleep(_PAUSE)
        return None

    def finish(self, outcome: errors.Outcome, record: bytes) -> None:
        """Tell the owner what became of the request."""
        ran = outcome is not errors.Outcome.NOT_RUN
        done = messages.ClaimDone(self._claim.request, ran, record)
        try:
            self._pool.post(self._owner, done)
        except errors.PeerError:
            # The owner takes a lost entry's request as one that may have
            # run, which is never wrong.
            return

    async def _take_once(self) -> bytes | None:
        claim = self._claim
        service, key = claim.service, claim.key
        self._owner = find_owner(self._view, self._pool, service, key)
        self._arrived = trio.Event()
        self._pool.receivers[claim.request] = self
        try:
            self._pool.post(self._owner, claim)
            with trio.move_on_after(_TIMEOUT + claim.deadline / 1000):
                await self._arrived.wait()
        except errors.PeerError as why:
            raise self._fail("cannot be reached") from why
        finally:
            del self._pool.receivers[claim.request]
        if isinstance(self._answer, messages.Refused):
            raise read_refusal(self._answer)
        if not isinstance(self._answer, messages.Claimed):
            raise self._fail("gave no answer")
        return self._answer.record if self._answer.replayed else None

    def _fail(self, why: str) -> errors.RequestError:
        return errors.RequestError(
            "owner_unreachable",
            f"the target that owns this idempotency key {why}; this try "
            "did not run. Repeat it with the same key",
            retry_after=2.0,
        )


def read_refusal(message: messages.Refused) -> errors.RequestError:
    """Return the error that an agent's refusal carries."""
    return errors.RequestError(
        message.code,
        message.reason,
        status=message.status,
        outcome=errors.Outcome(message.outcome),
        retry_after=message.retry_after / 1000 or None,
    )
