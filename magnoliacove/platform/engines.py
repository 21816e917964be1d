"""Decoding of model engines' reports and encoding of orders to them."""

from collections.abc import Sequence
from dataclasses import dataclass
import enum
from http import HTTPStatus

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

REPORT_PATH = "/v1/report"
ORDER_PATH = "/v1/order"


@dataclass(frozen=True)
class StalledRequest:
    """A request that waits for an unreachable engine.

    :param address: the address of that engine.
    """

    request: str
    address: str


@dataclass(frozen=True)
class EngineReport:
    """The status that an engine reports.

    :param layers: the layers that it has loaded and serves.
    :param loading: whether an order is in progress.
    :param orders: number of orders that it has begun since its start.
    :param running: requests in progress whose path starts at this engine.
    :param waiting: requests in its queue.
    :param used: token-layers of memory that cannot be reclaimed.
    :param total: token-layers of memory available to requests.
    :param slowness: 1 at normal speed, more if the engine is slower.
    :param stalled: requests that wait for an unreachable engine.
    :param incarnation: the engine's start time in milliseconds since 1970,
        0 if the engine does not report it.
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
    """An engine's answer to an order."""

    BEGUN = "begun"
    DONE = "done"
    CONFLICT = "conflict"
    REFUSED = "refused"


def read_report(body: bytes) -> EngineReport:
    """Decode a report.

    :raises magnoliacove.errors.ProtocolError: if it is malformed.
    """
    try:
        fields = Fields(orjson.loads(body), "an engine's report")
    except ValueError as exc:
        raise errors.ProtocolError(
            f"an engine's report is not JSON: {exc}"
        ) from exc
    return EngineReport(
        layers=read_layers(fields),
        loading=fields.flag("busy"),
        orders=fields.count("sequence", 0),
        running=fields.count("in_flight", 0),
        waiting=fields.count("queued", 0),
        used=fields.amount("kv_used", 0),
        total=fields.amount("kv_total", 0),
        slowness=fields.amount("pace", 1),
        stalled=tuple(
            StalledRequest(item.text("id", ""), item.text("address", ""))
            for item in fields.objects("stalled")
        ),
        incarnation=read_incarnation(fields),
    )


def write_place_order(
    layers: LayerRange, *, interrupt: bool, orders: int | None
) -> bytes:
    """Return the body of an order to load a range of layers.

    :param interrupt: abort the requests that pass through layers to be
        unloaded instead of waiting for them.
    :param orders: execute the order only if the engine has begun exactly
        this number of orders; None for no condition.
    """
    body = {
        "operation": "place",
        "from": layers.first,
        "to": layers.end,
        "mode": "preempt" if interrupt else "queue",
    }
    if orders is not None:
        # A delayed order must not undo a newer one.
        body["precondition"] = orders
    return orjson.dumps(body)


def write_reroute_order(request: str, path: Path) -> bytes:
    """Return the body of an order to continue a request on another path.

    :param path: has the same first stage as the current path.
    """
    return orjson.dumps(
        {"operation": "repath", "id": request, "path": write_path(path)}
    )


def reports_leaving(
    status: int, headers: Sequence[tuple[bytes, bytes]], name: str
) -> bool:
    """Return whether a health check's answer reports that an engine leaves.

    :param name: the engine's name; its address may have been assigned to
        another engine in the meantime.
    """
    instance = dict(headers).get(b"x-instance-id", b"").decode("latin-1")
    return status == HTTPStatus.SERVICE_UNAVAILABLE and instance in ("", name)


def read_order_result(status: int) -> OrderResult:
    """Return the result that an answer's status code stands for."""
    if status == 202:
        return OrderResult.BEGUN
    if status == 200:
        return OrderResult.DONE
    if status in (409, 412):
        return OrderResult.CONFLICT
    return OrderResult.REFUSED
