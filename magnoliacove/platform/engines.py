"""Reports and orders of model engines."""

from collections.abc import Sequence
from dataclasses import dataclass
import enum

import orjson

from magnoliacove import errors
from magnoliacove.directory.listed import LayerRange
from magnoliacove.platform.fields import Fields
from magnoliacove.platform.headers import write_path
from magnoliacove.platform.servers import read_incarnation
from magnoliacove.platform.servers import read_layers
from magnoliacove.routing.paths import Path

__all__ = [
    "ORDER_PATH",
    "REPORT_PATH",
    "EngineReport",
    "OrderResult",
    "StalledRequest",
    "read_order_result",
    "read_report",
    "reports_leaving",
    "write_reroute_order",
    "write_place_order",
]

_UNAVAILABLE = 503
REPORT_PATH = "/v1/report"
ORDER_PATH = "/v1/order"


@dataclass(frozen=True)
class StalledRequest:
    """A request that waits for a lost engine.

    :param address: the engine that it waits for.
    """

    request: str
    address: str


@dataclass(frozen=True)
class EngineReport:
    """What an engine says of itself.

    :param layers: what it holds and serves.
    :param loading: whether an order is in progress.
    :param orders: how many orders it has begun since its start.
    :param running: requests in progress, as the first engine of a path.
    :param waiting: requests in its queue.
    :param used: token-layers of memory that cannot be given up.
    :param total: token-layers of memory for requests.
    :param slowness: 1 for usual speed, more when it is slow.
    :param stalled: requests that wait for a lost engine.
    :param incarnation: milliseconds of its start since 1970, 0 when the
        engine does not tell.
    """

    layers: LayerRange | None
    loading: bool
    orders: int
    running: int
    waiting: int
    used: float
    total: float
    slowness: float
    stalled: tuple[StalledRequest, ...]
    incarnation: int = 0


class OrderResult(enum.StrEnum):
    """What an engine answered to an order."""

    BEGUN = "begun"
    DONE = "done"
    CONFLICT = "conflict"
    REFUSED = "refused"


def read_report(body: bytes) -> EngineReport:
    """Decode a report.

    :raises magnoliacove.errors.ProtocolError: when it is none.
    """
    try:
        fields = Fields(orjson.loads(body), "an engine's report")
    except ValueError as why:
        raise errors.ProtocolError(
            f"an engine's report is not JSON: {why}"
        ) from why
    return EngineReport(
        layers=read_layers(fields),
        loading=fields.flag("busy"),
        orders=fields.integer("sequence", 0),
        running=fields.integer("in_flight", 0),
        waiting=fields.integer("queued", 0),
        used=fields.number("kv_used", 0),
        total=fields.number("kv_total", 0),
        slowness=fields.number("pace", 1),
        stalled=tuple(
            StalledRequest(item.text("id", ""), item.text("address", ""))
            for item in fields.objects("stalled")
        ),
        incarnation=read_incarnation(fields),
    )


def write_place_order(
    layers: LayerRange, *, interrupt: bool, orders: int | None
) -> bytes:
    """Return the body of an order to hold a range of layers.

    :param interrupt: cut off what passes through layers that are given up
        instead of waiting for it.
    :param orders: the order counts only if the engine has begun so many
        before, or None.
    """
    body = {
        "operation": "place",
        "from": layers.first,
        "to": layers.end,
        "mode": "preempt" if interrupt else "queue",
    }
    if orders is not None:
        # An order that is carried out late must not undo a newer one.
        body["precondition"] = orders
    return orjson.dumps(body)


def write_reroute_order(request: str, path: Path) -> bytes:
    """Return the body of an order to go on with a request on another path.

    :param path: has the same first stage as the present one.
    """
    return orjson.dumps(
        {"operation": "repath", "id": request, "path": write_path(path)}
    )


def reports_leaving(
    status: int, headers: Sequence[tuple[bytes, bytes]], name: str
) -> bool:
    """Return whether the answer of a health check says that it leaves.

    :param name: the engine; another one may have its address by now.
    """
    instance = dict(headers).get(b"x-instance-id", b"").decode("latin-1")
    return status == _UNAVAILABLE and instance in ("", name)


def read_order_result(status: int) -> OrderResult:
    """Return what the status of an order's answer means."""
    if status == 202:
        return OrderResult.BEGUN
    if status == 200:
        return OrderResult.DONE
    if status in (409, 412):
        return OrderResult.CONFLICT
    return OrderResult.REFUSED
