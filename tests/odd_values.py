"""Values that other writers leave where a reader expects its own."""

import copy
import json

__all__ = ["VALUES", "list_variants"]

# JSON texts.
VALUES = {
    "very deep lists": b"[" * 200_000 + b"]" * 200_000,
    "very deep objects": b'{"a":' * 3000 + b"1" + b"}" * 3000,
    "deep lists": b"[" * 960 + b"]" * 960,
    "thousands of digits": b"9" * 5000,
    "hundreds of digits": b"9" * 400,
    "beyond a double": b"1e999",
    "a large number": b"1e300",
    "beyond a port": b"99999999",
    "negative": b"-1",
    "no number": b"NaN",
    "text": b'"x"',
    "null": b"null",
    "a list": b"[]",
    "an object": b"{}",
    "true": b"true",
}
_MARK = "@odd"


def _list_paths(values, path=()):
    """Return the paths to all values in one, its own last."""
    items = ()
    if isinstance(values, dict):
        items = values.items()
    elif isinstance(values, list):
        items = enumerate(values)
    found = []
    for key, value in items:
        found += _list_paths(value, (*path, key))
    return [*found, path]


def list_variants(values, odd):
    """Return encoded values, each with an odd one in another place.

    :param odd: a JSON text.
    """
    variants = []
    for path in _list_paths(values):
        root = [copy.deepcopy(values)]
        holder, key = root, 0
        for step in path:
            holder, key = holder[key], step
        holder[key] = _MARK
        data = json.dumps(root[0]).encode()
        variants.append(data.replace(f'"{_MARK}"'.encode(), odd))
    return variants
