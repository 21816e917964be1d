"""The form of objects in the calls and answers of the platform's store."""

import base64
from typing import Any
from urllib.parse import unquote

import orjson

from magnoliacove import errors
from magnoliacove.platform import api
from magnoliacove.platform.eras import StoreEra
from magnoliacove.platform.eras import split_revision
from magnoliacove.platform.partial_json import UndecodableValue

__all__ = [
    "is_named",
    "local_name",
    "make_unreadable",
    "read_list",
    "read_object",
    "write_object",
]

# Stands for a value of which a part cannot be decoded; it is no JSON.
_UNDECODABLE = b"undecodable"


def local_name(name: str) -> str:
    """Return an object's name within its kind."""
    return name.partition("/")[2]


def make_unreadable(what: str) -> errors.PlatformError:
    """Return the error for an answer that lacks what it must contain."""
    return errors.PlatformError(
        f"the object API's answer does not contain {what}",
        errors.Outcome.MAY_HAVE_RUN,
    )


def read_list(data: Any, name: str) -> list[Any]:
    """Return a list of an answer.

    :raises magnoliacove.errors.PlatformError: if it is missing.
    """
    items = data.get(name) if isinstance(data, dict) else None
    if not isinstance(items, list):
        raise make_unreadable(f"the list of {name}")
    return items


def is_named(item: Any) -> bool:
    """Return whether an item is an object with a name and a revision."""
    meta = item.get("metadata") if isinstance(item, dict) else None
    return (
        isinstance(meta, dict)
        and isinstance(meta.get("name"), str)
        and isinstance(meta.get("revision"), int)
    )


def read_object(kind: str, data: dict[str, Any], era: StoreEra) -> api.Record:
    """Return an object of an answer, which must have a name."""
    meta = data["metadata"]
    name = f"{kind}/{unquote(meta['name'])}"
    value = _read_value(data.get("spec"))
    return api.Record(name, era.join(meta["revision"]), value)


def _read_value(spec: Any) -> bytes:
    """Return an object's value; what cannot be decoded is kept as it is.

    Whoever reads the value then rejects it, and with it no other object.
    """
    if isinstance(spec, UndecodableValue):
        return spec.data
    if isinstance(spec, str):
        try:
            return base64.b64decode(spec, validate=True)
        except ValueError:
            # Text that is not base64, written by another client.
            return spec.encode()
    try:
        return orjson.dumps(spec)
    except TypeError:
        # Part of it cannot be decoded, or it is nested too deeply to encode.
        return _UNDECODABLE


def write_object(name: str, value: bytes, version: int | None) -> bytes:
    """Return the body of a call that writes an object."""
    meta: dict[str, Any] = {"name": local_name(name)}
    if version is not None:
        meta["revision"] = split_revision(version)[1]
    try:
        spec = orjson.loads(value)
        if isinstance(spec, str):
            raise ValueError
    except ValueError:
        spec = base64.b64encode(value).decode()
    return orjson.dumps({"metadata": meta, "spec": spec})
