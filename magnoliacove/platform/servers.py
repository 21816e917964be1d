"""Decoding the list of engines that the platform's store holds."""

import orjson

from magnoliacove import errors
from magnoliacove.directory import targets
from magnoliacove.platform import api
from magnoliacove.platform.fields import Fields
from magnoliacove.wire.network import Address

__all__ = ["SERVERS", "read_layers", "read_server"]

# The kind under which engines register themselves, each by its id.
SERVERS = "servers"
_DRAINING = "draining"


def read_server(record: api.Record) -> targets.ListedTarget:
    """Decode one engine's entry.

    :raises magnoliacove.errors.ProtocolError: naming the field.
    """
    name = record.name.partition("/")[2]
    fields = Fields(orjson.loads(record.value), f"the entry of engine {name}")
    try:
        address = Address.parse(fields.text("address"))
    except errors.UserError as why:
        raise errors.ProtocolError(f"{fields.where}: {why}") from why
    return targets.ListedTarget(
        name=name,
        service=fields.text("service"),
        address=address,
        data_centre=fields.text("zone", ""),
        draining=fields.text("state", "ready") == _DRAINING,
        slots=fields.integer("slots", 1),
        accelerator=fields.text("kind", ""),
        layers=read_layers(fields),
        revision=record.version,
    )


def read_layers(fields: Fields) -> targets.LayerRange | None:
    """Return the layers that an engine says it holds, or None."""
    held = fields.object("layers")
    if held is None or not held.has("to"):
        return None
    # The field "to" is one past the last layer.
    found = targets.LayerRange(held.integer("from"), held.integer("to"))
    return found if found.count > 0 else None
