"""The settings file that the platform writes for each process.

The deploy file's template renders every field as one JSON document, so no
further format is needed.
"""

from dataclasses import dataclass
import json
import pathlib

from magnoliacove import errors
from magnoliacove.platform.fields import Fields
from magnoliacove.wire.network import Address

__all__ = ["Bounds", "NodeSettings", "read_settings"]


@dataclass(frozen=True)
class Bounds:
    """What the platform expects of a process; times in seconds.

    :param drain: how long a leaving target may still be sent requests.
    :param grace: from SIGTERM to SIGKILL.
    :param retry_ratio: repeats allowed for each request, fleet-wide.
    :param retry_slack: repeats allowed beyond the ratio in one window.
    :param retry_window: length of that window.
    :param stall: how long an engine holds work for a lost stage.
    """

    drain: float
    grace: float
    retry_ratio: float
    retry_slack: float
    retry_window: float
    stall: float


@dataclass(frozen=True)
class NodeSettings:
    """Who this process is and where it listens.

    :param callers: where callers connect.
    :param readiness: where the balancer asks whether to send callers.
    :param peer_port: the port on which our processes talk to each other;
        it is the same on all instances.
    :param seeds: instances that may know the others; may be stale.
    :param store: the platform's object store.
    :param first_start: whether the whole system starts for the first time.
    """

    name: str
    data_centre: str
    host: str
    callers: Address
    readiness: Address
    peer_port: int
    seeds: tuple[Address, ...]
    store: Address
    bounds: Bounds
    first_start: bool


def read_settings(path: str) -> NodeSettings:
    """Read and check the settings file.

    :raises magnoliacove.errors.UserError: naming the file and the field.
    """
    try:
        data = json.loads(pathlib.Path(path).read_text(encoding="utf-8"))
        return _decode(Fields(data, f"settings file {path}"))
    except OSError as why:
        raise errors.UserError(
            f"settings file {path} cannot be read: {why.strerror}; set "
            "--settings (MAGNOLIACOVE_NODE_FILE) to a file that exists"
        ) from why
    except ValueError as why:
        raise errors.UserError(
            f"settings file {path} is not JSON: {why}; check the template "
            "in deploy/settings.json"
        ) from why
    except errors.ProtocolError as why:
        raise errors.UserError(str(why)) from why


def _decode(fields: Fields) -> NodeSettings:
    listen = _require(fields, "listen")
    store = _require(fields, "platform")
    host = fields.text("ip")
    ports = fields.texts("internal_ports")
    if not ports:
        raise errors.UserError(
            f"{fields.where} has no internal_ports; processes need one "
            "port to talk to each other"
        )
    peer_port = int(ports[0])
    return NodeSettings(
        name=fields.text("node_name"),
        data_centre=fields.text("zone"),
        host=host,
        callers=Address.parse(listen.text("front")),
        readiness=Address.parse(listen.text("ready_addr")),
        peer_port=peer_port,
        # A seed is named by the address of its control port; our own
        # protocol listens on the peer port of the same instance.
        seeds=tuple(
            Address(Address.parse(text).host, peer_port)
            for text in fields.texts("seeds")
        ),
        store=Address.parse(store.text("address")),
        bounds=_decode_bounds(_require(fields, "bounds")),
        first_start=fields.flag("bootstrap"),
    )


def _decode_bounds(fields: Fields) -> Bounds:
    return Bounds(
        drain=fields.seconds("drain_ms"),
        grace=fields.number("grace_s"),
        retry_ratio=fields.number("retry_budget_ratio", 0.2),
        retry_slack=fields.number("budget_slack", 10),
        retry_window=fields.number("budget_window_s", 10),
        stall=fields.seconds("stall_ms", 2500),
    )


def _require(fields: Fields, name: str) -> Fields:
    found = fields.object(name)
    if found is None:
        raise errors.UserError(f"{fields.where} has no table {name!r}")
    return found
