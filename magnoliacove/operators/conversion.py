"""Conversion between the operators' schema and configuration objects."""

from dataclasses import fields
from typing import Any

from protobuf import Oneof

from magnoliacove import configuration
from magnoliacove import errors
from magnoliacove.operators.generated import operators_pb as pb

__all__ = [
    "read_item",
    "read_operation",
    "write_item",
    "write_put",
    "write_removal",
]

_MESSAGES: dict[str, type] = {
    "data_centre": pb.DataCentre,
    "service": pb.Service,
    "client_account": pb.ClientAccount,
    "pipeline": pb.Pipeline,
    "target": pb.Target,
}


def read_item(item: pb.Item) -> configuration.ConfigurationObject:
    """Return the checked object that a message describes.

    :raises magnoliacove.errors.UserError: if the message is invalid; the
        text names the mistake.
    """
    if item.item is None:
        raise errors.UserError("an item is empty; set one of its kinds")
    kind, message = item.item.field, item.item.value
    values: dict[str, Any] = {}
    for field in fields(configuration.KINDS[kind]):
        value = getattr(message, field.name)
        # A field that is not set gets the default of the object's class.
        if value or field.name in ("name", "service", "form"):
            values[field.name] = value
    return configuration.make_object(kind, values)


def write_item(
    item: configuration.ConfigurationObject, version: int = 0
) -> pb.Item:
    """Return the message that describes an object."""
    values = {
        field.name: _to_list(getattr(item, field.name))
        for field in fields(item)
    }
    content: Any = Oneof(item.kind, _MESSAGES[item.kind](**values))
    return pb.Item(item=content, version=version)


def _to_list(value: Any) -> Any:
    return list(value) if isinstance(value, tuple) else value


def read_operation(
    operation: pb.Operation,
) -> configuration.Put | configuration.Removal:
    """Return the operation that a message describes.

    :raises magnoliacove.errors.UserError: if the message is invalid; the
        text names the mistake.
    """
    if operation.operation is None:
        raise errors.UserError("an operation is empty; set put or remove")
    based_on = operation.based_on if operation.has_field("based_on") else None
    if operation.operation.field == "put":
        item = read_item(operation.operation.value)
        return configuration.Put(item, based_on)
    removal = operation.operation.value
    if removal.kind not in configuration.KINDS:
        raise errors.UserError(
            f"kind {removal.kind!r} is not known; use one of "
            f"{', '.join(configuration.KINDS)}"
        )
    return configuration.Removal(removal.kind, removal.name, based_on)


def write_put(
    item: configuration.ConfigurationObject, based_on: int | None
) -> pb.Operation:
    """Return the message of an operation that puts an object."""
    return _make_operation(Oneof("put", write_item(item)), based_on)


def write_removal(kind: str, name: str, based_on: int | None) -> pb.Operation:
    """Return the message of an operation that deletes an object."""
    removal = pb.Removal(kind=kind, name=name)
    return _make_operation(Oneof("remove", removal), based_on)


def _make_operation(operation: Any, based_on: int | None) -> pb.Operation:
    if based_on is None:
        return pb.Operation(operation=operation)
    return pb.Operation(operation=operation, based_on=based_on)
