"""Claims of idempotency keys for requests to models."""

import trio

from magnoliacove import configuration
from magnoliacove import errors
from magnoliacove.directory import View
from magnoliacove.entry.pool import PeerChanged
from magnoliacove.entry.pool import TargetPool
from magnoliacove.routing import choose_owner
from magnoliacove.wire import messages

__all__ = ["KeyClaim", "find_owner"]

# Seconds, beyond the request's deadline, to wait for the owner's answer.
_OWNER_TIMEOUT = 5.0
# Maximum attempts to claim a key at its owner while the configurations of the
# entry and the owner differ, and the seconds between two attempts.
_MAX_ATTEMPTS = 4
_RETRY_PAUSE = 0.3


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
        # Another target has no record of whether the key ran at its
        # owner, so no other target may run it.
        raise errors.RequestError(
            "owner_unreachable",
            "the target that owns this idempotency key cannot be reached; "
            "this try did not run. Repeat it with the same key",
            retry_after=2.0,
        )
    return owner


class KeyClaim:
    """Claims an idempotency key at its owner for one request."""

    def __init__(
        self, claim: messages.Claim, view: View, pool: TargetPool
    ) -> None:
        self._claim = claim
        self._view = view
        self._pool = pool
        self._owner = ""
        self._answer: object = None
        self._arrived = trio.Event()

    # Called by the pool.

    def receive(self, source: str, message: object) -> None:
        """Accept a message without waiting."""
        if isinstance(message, PeerChanged) and not message.lost:
            return
        self._answer = message
        self._arrived.set()

    def depends_on(self, name: str) -> bool:
        """Return whether the claim depends on an agent."""
        return name == self._owner

    def check_timeout(self, now: float) -> None:
        """Do nothing; :meth:`take` has its own timeout."""

    # Claiming.

    async def take(self) -> bytes | None:
        """Claim the key; return the answer of an earlier attempt, if any.

        :raises magnoliacove.errors.RequestError: when the request must not
            run.
        """
        for attempt in range(_MAX_ATTEMPTS):
            try:
                return await self._try_take()
            except errors.RequestError as exc:
                # Just after a change, the entry and the owner may have
                # different configuration versions.
                if exc.code != "not_owner" or attempt == _MAX_ATTEMPTS - 1:
                    raise
                await trio.sleep(_RETRY_PAUSE)
        return None

    def finish(self, outcome: errors.Outcome, record: bytes) -> None:
        """Report the outcome of the request to the owner."""
        ran = outcome is not errors.Outcome.NOT_RUN
        done = messages.ClaimDone(self._claim.request, ran, record)
        try:
            self._pool.post(self._owner, done)
        except errors.PeerError:
            # When the owner loses the connection to an entry, it assumes
            # that the entry's request may have run, which is always safe.
            return

    async def _try_take(self) -> bytes | None:
        claim = self._claim
        service, key = claim.service, claim.key
        self._owner = find_owner(self._view, self._pool, service, key)
        self._arrived = trio.Event()
        self._pool.receivers[claim.request] = self
        try:
            self._pool.post(self._owner, claim)
            with trio.move_on_after(_OWNER_TIMEOUT + claim.deadline / 1000):
                await self._arrived.wait()
        except errors.PeerError as exc:
            raise self._make_error("cannot be reached") from exc
        finally:
            del self._pool.receivers[claim.request]
        if isinstance(self._answer, messages.Refused):
            raise read_refusal(self._answer)
        if not isinstance(self._answer, messages.Claimed):
            raise self._make_error("gave no answer")
        return self._answer.record if self._answer.replayed else None

    def _make_error(self, problem: str) -> errors.RequestError:
        return errors.RequestError(
            "owner_unreachable",
            f"the target that owns this idempotency key {problem}; this try "
            "did not run. Repeat it with the same key",
            retry_after=2.0,
        )


def read_refusal(message: messages.Refused) -> errors.RequestError:
    """Convert an agent's refusal to an error."""
    return errors.RequestError(
        message.code,
        message.reason,
        status=message.status,
        outcome=errors.Outcome(message.outcome),
        retry_after=message.retry_after / 1000 or None,
    )
