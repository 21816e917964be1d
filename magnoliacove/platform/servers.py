"""Decoding of the engines' entries in the platform's store."""

import ipaddress
import re

import orjson

from magnoliacove import errors
from magnoliacove.directory import listed
from magnoliacove.platform import api
from magnoliacove.platform.fields import Fields
from magnoliacove.wire.network import Address

__all__ = ["SERVERS", "read_incarnation", "read_layers", "read_server"]

# The kind under which each engine registers itself by its id.
SERVERS = "servers"
_READY = "ready"
_DRAINING = "draining"
# The largest number of layers and time in milliseconds since 1970 that make
# sense.  Heartbeats have 16 bits for a layer.
_MAX_LAYERS = 2**16 - 1
_MAX_TIME_MS = 2**53
# Characters allowed in a header field, because the engine's name is sent in
# one.
_NAME = re.compile(r"[!-~]+")


def read_server(record: api.Record) -> listed.ListedTarget:
    """Decode one engine's entry.

    Other clients may write such entries, too.  An entry that differs from
    the format that engines write is rejected, because any process could
    answer a request that is sent to its address.

    :raises magnoliacove.errors.ProtocolError: if the entry is invalid; the
        message names the field.
    """
    entry = record.name.partition("/")[2]
    if not _NAME.fullmatch(entry):
        raise errors.ProtocolError(
            f"the entry {entry!r:.60} has no name that can be sent in a "
            "header field; remove it"
        )
    fields = Fields(_read_json(record.value), f"the entry of engine {entry}")
    state = fields.text("state")
    if state not in (_READY, _DRAINING):
        raise errors.ProtocolError(
            f"{fields.where} has state {state!r:.60}, which is not an engine "
            f"state; use {_READY!r} or {_DRAINING!r}"
        )
    incarnation = read_incarnation(fields)
    return listed.ListedTarget(
        name=listed.name_incarnation(entry, incarnation),
        service=fields.text("service"),
        address=_read_address(fields),
        data_centre=fields.text("zone"),
        draining=state == _DRAINING,
        slots=fields.count("slots"),
        accelerator=fields.text("kind", ""),
        layers=read_layers(fields),
        revision=record.version,
        incarnation=incarnation,
    )


def read_incarnation(fields: Fields) -> int:
    """Return the start time that an engine reports, or 0 if it does not.

    A restarted engine may keep its name, so only the start time shows
    whether earlier information about the engine is still valid.
    """
    return fields.count("born", 0, most=_MAX_TIME_MS)


def _read_json(value: bytes) -> object:
    try:
        return orjson.loads(value)
    except ValueError as exc:
        raise errors.ProtocolError(f"the entry is not JSON: {exc}") from exc


def _read_address(fields: Fields) -> Address:
    try:
        address = Address.parse(fields.text("address"))
        ipaddress.ip_address(address.host)
    except (errors.UserError, ValueError) as exc:
        raise errors.ProtocolError(
            f"{fields.where}, address: {exc}; write it as 10.0.0.5:7000"
        ) from exc
    return address


def read_layers(fields: Fields) -> listed.LayerRange | None:
    """Return the layers that an engine reports as loaded, or None."""
    layers = fields.object("layers")
    if layers is None or not layers.has("to"):
        return None
    # The field "to" is one past the last layer.
    layer_range = listed.LayerRange(
        layers.count("from", most=_MAX_LAYERS),
        layers.count("to", most=_MAX_LAYERS),
    )
    return layer_range if layer_range.count > 0 else None
