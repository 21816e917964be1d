"""Decoding the list of engines that the platform's store holds."""

import ipaddress
import re

import orjson

from magnoliacove import errors
from magnoliacove.directory import listed
from magnoliacove.platform import api
from magnoliacove.platform.fields import Fields
from magnoliacove.wire.network import Address

__all__ = ["SERVERS", "read_incarnation", "read_layers", "read_server"]

# The kind under which engines register themselves, each by its id.
SERVERS = "servers"
_READY = "ready"
_DRAINING = "draining"
# What may stand in a header field; the engine's name is sent in one.
_NAME = re.compile(r"[!-~]+")


def read_server(record: api.Record) -> listed.ListedTarget:
    """Decode one engine's entry.

    Others may write such entries too.  One that is not as engines write
    them names no engine: a request that went where it points could be
    answered by anybody.

    :raises magnoliacove.errors.ProtocolError: naming the field.
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
            f"{fields.where} has state {state!r:.60}, which no engine is in; "
            f"use {_READY!r} or {_DRAINING!r}"
        )
    incarnation = read_incarnation(fields)
    return listed.ListedTarget(
        name=listed.name_incarnation(entry, incarnation),
        service=fields.text("service"),
        address=_read_address(fields),
        data_centre=fields.text("zone"),
        draining=state == _DRAINING,
        slots=fields.integer("slots"),
        accelerator=fields.text("kind", ""),
        layers=read_layers(fields),
        revision=record.version,
        incarnation=incarnation,
    )


def read_incarnation(fields: Fields) -> int:
    """Return when an engine says that it started, 0 when it does not.

    Its name may outlive it, so this alone tells whether what was known of
    it still holds.
    """
    return fields.integer("born", 0)


def _read_json(value: bytes) -> object:
    try:
        return orjson.loads(value)
    except ValueError as why:
        raise errors.ProtocolError(f"it is not JSON: {why}") from why


def _read_address(fields: Fields) -> Address:
    try:
        address = Address.parse(fields.text("address"))
        ipaddress.ip_address(address.host)
    except (errors.UserError, ValueError) as why:
        raise errors.ProtocolError(
            f"{fields.where}, address: {why}; write it as 10.0.0.5:7000"
        ) from why
    return address


def read_layers(fields: Fields) -> listed.LayerRange | None:
    """Return the layers that an engine says it holds, or None."""
    held = fields.object("layers")
    if held is None or not held.has("to"):
        return None
    # The field "to" is one past the last layer.
    found = listed.LayerRange(held.integer("from"), held.integer("to"))
    if found.first < 0:
        raise errors.ProtocolError(
            f"{held.where} begins before the first layer; correct 'from'"
        )
    return found if found.count > 0 else None
