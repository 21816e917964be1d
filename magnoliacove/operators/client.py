"""A client of the operators' API for the command line and scripts."""

from collections.abc import Sequence
import time
from typing import Any
from typing import TypeVar
import uuid

from connectrpc.code import Code
from connectrpc.errors import ConnectError

from magnoliacove import errors
from magnoliacove.operators.generated import operators_connect
from magnoliacove.operators.generated import operators_pb as pb

__all__ = ["OperatorsClient"]

_T = TypeVar("_T")
_TIMEOUT_MS = 15_000
_MAX_ATTEMPTS = 3
# Seconds between two attempts.
_RETRY_DELAY = 0.5
# Codes of a call that failed to reach the service or whose outcome is
# unknown.
_NO_ANSWER_CODES = (Code.UNAVAILABLE, Code.UNKNOWN, Code.DEADLINE_EXCEEDED)


class OperatorsClient:
    """Makes the operators' calls and translates their errors.

    :param url: the URL of an entry's operators' API, for example
        ``http://127.0.0.1:8081``.
    :param key: the operator's key.
    """

    def __init__(self, url: str, key: str) -> None:
        self._url = url
        self._client = operators_connect.OperatorsClientSync(url)
        self._headers = {"authorization": f"Bearer {key}"}

    def apply(self, operations: Sequence[pb.Operation]) -> pb.ApplyResponse:
        """Apply operations atomically, as one new version.

        A call whose answer is lost is repeated with the same change id, so
        that the change is applied only once.
        """
        request = pb.ApplyRequest(
            change_id=str(uuid.uuid4()), operations=list(operations)
        )
        for _ in range(_MAX_ATTEMPTS - 1):
            try:
                return self._call(self._client.apply, request)
            except errors.PlatformError:
                time.sleep(_RETRY_DELAY)
        return self._call(self._client.apply, request)

    def plan(self, operations: Sequence[pb.Operation]) -> pb.PlanResponse:
        """Return the changes that apply would make."""
        request = pb.ApplyRequest(operations=list(operations))
        return self._call(self._client.plan, request)

    def read(self, kind: str, name: str = "") -> pb.ReadResponse:
        """Return one object, or all objects of a kind."""
        request = pb.ReadRequest(kind=kind, name=name)
        return self._call(self._client.read, request)

    def get_status(self) -> pb.StatusResponse:
        """Return the state of each instance and service, with versions."""
        return self._call(self._client.get_status, pb.StatusRequest())

    def give_order(
        self, target: str, action: str, argument: str
    ) -> pb.OrderResponse:
        """Send an order to the engine of a target."""
        request = pb.OrderRequest(
            target=target, action=action, argument=argument
        )
        return self._call(self._client.give_order, request)

    def _call(self, method: Any, request: Any) -> Any:
        try:
            return method(
                request, headers=self._headers, timeout_ms=_TIMEOUT_MS
            )
        except ConnectError as exc:
            raise self._translate(exc) from exc

    def _translate(self, error: ConnectError) -> errors.Error:
        text = error.message
        if error.code == Code.ABORTED:
            return errors.ConflictError(text)
        if error.code == Code.NOT_FOUND:
            return errors.NotFoundError(text)
        if error.code in _NO_ANSWER_CODES:
            return errors.PlatformError(
                f"{text or 'no answer'} (from {self._url}; check --server, "
                "or try another entry)",
                _read_outcome(error),
            )
        return errors.UserError(text)


def _read_outcome(error: ConnectError) -> errors.Outcome:
    """Return whether a call that got no answer may have been executed."""
    if error.code != Code.UNAVAILABLE:
        return errors.Outcome.MAY_HAVE_RUN
    # The service answers so what it has not executed.  The library uses the
    # same code for a connection that fails, also after the call was sent.
    failure = error.__cause__
    if failure is None or isinstance(failure, ConnectionError):
        return errors.Outcome.NOT_RUN
    return errors.Outcome.MAY_HAVE_RUN
