"""The settings file that the platform writes for each process.

The template in the deployment file renders all fields as one JSON document,
so the settings need no other format.
"""

from dataclasses import dataclass
import json
import pathlib

from magnoliacove import defaults
from magnoliacove import errors
from magnoliacove.platform.fields import Fields
from magnoliacove.wire.network import Address

__all__ = ["Bounds", "NodeSettings", "read_settings"]

_MB = 1024 * 1024


@dataclass(frozen=True)
class Bounds:
    """Limits that the platform sets for a process; times in seconds.

    :param drain: how long requests may still be sent to a leaving target.
    :param grace: time between SIGTERM and SIGKILL.
    :param retry_ratio: fleet-wide ratio of retries to requests.
    :param retry_slack: retries allowed beyond the ratio in one window.
    :param retry_window: length of that window.
    :param stall: how long an engine keeps work for an unreachable stage.
    """

    drain: float
    grace: float
    retry_ratio: float
    retry_slack: float
    retry_window: float
    stall: float


@dataclass(frozen=True)
class NodeSettings:
    """Identity and addresses of this process.

    :param callers: the address to which callers connect.
    :param readiness: the address at which the load balancer checks whether
        to send callers to this process.
    :param peer_port: the port for connections between magnoliacove
        processes; it is the same on all instances.
    :param seeds: addresses of instances that may know the other ones; some
        may be out of date.
    :param store: the address of the platform's object store.
    :param first_start: whether the whole system starts for the first time.
    :param memory: bytes that the process may use, also for what it was sent
        and has not read.
    :param descriptors: descriptors that it may have open.
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
    memory: int = defaults.PROCESS_MEMORY_MB * _MB
    descriptors: int = defaults.PROCESS_DESCRIPTORS


def read_settings(path: str) -> NodeSettings:
    """Read and check the settings file.

    :raises magnoliacove.errors.UserError: if it cannot be read or is
        invalid; the message names the file and the field.
    """
    try:
        data = json.loads(pathlib.Path(path).read_text(encoding="utf-8"))
        return _decode(Fields(data, f"settings file {path}"))
    except OSError as exc:
        raise errors.UserError(
            f"settings file {path} cannot be read: {exc.strerror}; set "
            "--settings (MAGNOLIACOVE_NODE_FILE) to a file that exists"
        ) from exc
    except ValueError as exc:
        raise errors.UserError(
            f"settings file {path} is not JSON: {exc}; check the template "
            "in deploy/settings.json"
        ) from exc
    except errors.ProtocolError as exc:
        raise errors.UserError(str(exc)) from exc


def _decode(fields: Fields) -> NodeSettings:
    listen = _require(fields, "listen")
    store = _require(fields, "platform")
    host = fields.text("ip")
    ports = fields.texts("internal_ports")
    if not ports:
        raise errors.UserError(
            f"{fields.where} has no internal_ports; set at least one "
            "port for connections between processes"
        )
    peer_port = int(ports[0])
    limits = fields.object("limits") or Fields({}, fields.where)
    return NodeSettings(
        name=fields.text("node_name"),
        data_centre=fields.text("zone"),
        host=host,
        callers=Address.parse(listen.text("front")),
        readiness=Address.parse(listen.text("ready_addr")),
        peer_port=peer_port,
        # The platform gives a seed's control port; the peer protocol uses
        # the peer port of the same instance.
        seeds=tuple(
            Address(Address.parse(text).host, peer_port)
            for text in fields.texts("seeds")
        ),
        store=Address.parse(store.text("address")),
        bounds=_decode_bounds(_require(fields, "bounds")),
        first_start=fields.flag("bootstrap"),
        memory=_MB * limits.count("memory_mb", defaults.PROCESS_MEMORY_MB),
        descriptors=limits.count("max_fds", defaults.PROCESS_DESCRIPTORS),
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
    value = fields.object(name)
    if value is None:
        raise errors.UserError(f"{fields.where} has no object {name!r}")
    return value
