"""A client of the operators' calls, for the command line and scripts."""

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
_TRIES = 3
_PAUSE = 0.5
_LOST = (Code.UNAVAILABLE, Code.UNKNOWN, Code.DEADLINE_EXCEEDED)


class OperatorsClient:
    """Makes the operators' calls and translates their errors.

    :param url: an entry's address for operators, as
        ``http://127.0.0.1:8081``.
    """

    def __init__(self, url: str, key: str) -> None:
        self._url = url
        self._client = operators_connect.OperatorsClientSync(url)
        self._headers = {"authorization": f"Bearer {key}"}

    def apply(self, operations: Sequence[pb.Operation]) -> pb.ApplyResponse:
        """Apply operations together, as one new version.

        A call whose answer is lost is repeated with the same change id, so
        the change is applied once.
        """
        request = pb.ApplyRequest(
            change_id=str(uuid.uuid4()), operations=list(operations)
        )
        for _ in range(_TRIES - 1):
            try:
                return self._call(self._client.apply, request)
            except errors.PlatformError:
                time.sleep(_PAUSE)
        return self._call(self._client.apply, request)

    def plan(self, operations: Sequence[pb.Operation]) -> pb.PlanResponse:
        """Say what apply would do."""
        request = pb.ApplyRequest(operations=list(operations))
        return self._call(self._client.plan, request)

    def read(self, kind: str, name: str = "") -> pb.ReadResponse:
        """Return one object, or all of a kind."""
        request = pb.ReadRequest(kind=kind, name=name)
        return self._call(self._client.read, request)

    def get_status(self) -> pb.StatusResponse:
        """Say which version is in force where, and how targets fare."""
        return self._call(self._client.get_status, pb.StatusRequest())

    def give_order(
        self, target: str, action: str, argument: str
    ) -> pb.OrderResponse:
        """Order the engine beside a target."""
        request = pb.OrderRequest(
            target=target, action=action, argument=argument
        )
        return self._call(self._client.give_order, request)

    def _call(self, method: Any, request: Any) -> Any:
        try:
            return method(
                request, headers=self._headers, timeout_ms=_TIMEOUT_MS
            )
        except ConnectError as why:
            raise self._translate(why) from why

    def _translate(self, why: ConnectError) -> errors.Error:
        text = why.message
        if why.code == Code.ABORTED:
            return errors.ConflictError(text)
        if why.code == Code.NOT_FOUND:
            return errors.NotFoundError(text)
        if why.code in _LOST:
            may = why.code != Code.UNAVAILABLE
            return errors.PlatformError(
                f"{text or 'no answer'} (from {self._url}; check --server, "
                "or try another entry)",
                errors.Outcome.MAY_HAVE_RUN if may else errors.Outcome.NOT_RUN,
            )
        return errors.UserError(text)
