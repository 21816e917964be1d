"""Decoding of JSON in which single values cannot be decoded.

An answer of the store contains the values of many writers, and any of them
may have written what a decoder refuses: half of a character, a number that is
out of range, bytes that are not UTF-8, deep nesting.  If one such value made
the whole answer unreadable, it would hide all others.
"""

from collections.abc import Iterator
from dataclasses import dataclass
import re
from typing import Any

import orjson

__all__ = ["UndecodableValue", "decode_partially"]

# Strings and the punctuation outside of them.
_TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{},]', re.DOTALL)
_OPENING, _CLOSING = b"[{", b"]}"
# Levels of an answer that are taken apart: the answer, a list, a change, an
# object and its fields.
_MAX_DEPTH = 4


@dataclass(frozen=True)
class UndecodableValue:
    """A value that cannot be decoded, as it was received."""

    data: bytes


def decode_partially(data: bytes, depth: int = _MAX_DEPTH) -> Any:
    """Return decoded JSON, with the values in it that cannot be decoded.

    :param depth: levels of nesting that are taken apart to find them.
    :returns: :class:`UndecodableValue` if no part can be decoded.
    """
    try:
        return orjson.loads(data)
    except orjson.JSONDecodeError:
        return _decode_parts(data.strip(), depth)


def _decode_parts(data: bytes, depth: int) -> Any:
    parts = _split(data) if depth else None
    if parts is None:
        return UndecodableValue(data)
    if data.startswith(b"["):
        return [decode_partially(part, depth - 1) for part in parts]
    members = (_split_member(part) for part in parts)
    return {
        name: decode_partially(value, depth - 1)
        for name, value in members
        if name is not None
    }


def _split(data: bytes) -> list[bytes] | None:
    """Return the elements of an array or the members of an object.

    :returns: None if the data is neither of these, or is cut off.
    """
    if data[:1] not in (b"[", b"{"):
        return None
    parts, begin = [], 1
    for position, depth in _find_separators(data):
        parts.append(data[begin:position].strip())
        begin = position + 1
        if depth == 0:
            return [part for part in parts if part]
    return None


def _find_separators(data: bytes) -> Iterator[tuple[int, int]]:
    """Yield the position of each comma of the outermost level and of its end.

    :returns: with each position the depth that follows it.
    """
    depth = 0
    for token in _TOKEN.finditer(data):
        character = token.group()
        if character in _OPENING:
            depth += 1
        elif character in _CLOSING:
            depth -= 1
            if depth == 0:
                yield token.start(), depth
                return
        elif character == b"," and depth == 1:
            yield token.start(), depth


def _split_member(data: bytes) -> tuple[str | None, bytes]:
    """Return the name and the value of an object's member.

    :returns: None for a name that cannot be decoded.
    """
    token = _TOKEN.match(data)
    if token is None:
        return None, b""
    try:
        name = orjson.loads(token.group())
    except orjson.JSONDecodeError:
        return None, b""
    if not isinstance(name, str):
        return None, b""
    rest = data[token.end() :].lstrip()
    return name, rest.removeprefix(b":").lstrip()
