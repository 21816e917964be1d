"""Typed access to decoded JSON, with errors that name the field."""

from collections.abc import Mapping
import math
import reprlib
from typing import Any

from magnoliacove import errors

__all__ = ["Fields"]

# The largest count and amount that are read.  Heartbeats have 32 bits for the
# one and 64 bits for the other; a larger value would keep a gateway from
# sending any.
_MAX_COUNT = 2**31 - 1
_MAX_AMOUNT = 2.0**53


class Fields:
    """A JSON object whose fields are type-checked when they are read.

    :param where: describes the object in error messages, for example
        ``route r-1``.
    """

    def __init__(self, values: Any, where: str) -> None:
        if not isinstance(values, Mapping):
            raise errors.ProtocolError(
                f"{where} is not a JSON object; check the program that "
                "wrote it"
            )
        self.where = where
        self._values = values

    def text(self, name: str, default: str | None = None) -> str:
        """Return a string."""
        return str(self._get(name, str, default))

    def flag(self, name: str, default: bool = False) -> bool:
        """Return a Boolean."""
        return bool(self._get(name, bool, default))

    def integer(self, name: str, default: int | None = None) -> int:
        """Return an integer."""
        value = self._get_number(name, default)
        if not float(value).is_integer():
            raise self._reject(name, value)
        return int(value)

    def count(
        self, name: str, default: int | None = None, *, most: int = _MAX_COUNT
    ) -> int:
        """Return an integer that is not negative.

        :param most: the largest one that makes sense.
        """
        value = self.integer(name, default)
        if not 0 <= value <= most:
            raise self._reject(name, value)
        return value

    def number(self, name: str, default: float | None = None) -> float:
        """Return a number."""
        return float(self._get_number(name, default))

    def amount(self, name: str, default: float) -> float:
        """Return a number that is not negative and at most 2**53."""
        value = self.number(name, default)
        if not 0.0 <= value <= _MAX_AMOUNT:
            raise self._reject(name, value)
        return value

    def seconds(self, name: str, default_ms: float | None = None) -> float:
        """Return the value in seconds of a field in milliseconds."""
        return self.number(name, default_ms) / 1000

    def objects(self, name: str) -> list["Fields"]:
        """Return the objects of a list; a missing list is empty."""
        items = self._get(name, (list, tuple), [])
        where = f"{self.where}, {name}"
        return [Fields(item, f"{where}[{n}]") for n, item in enumerate(items)]

    def texts(self, name: str) -> tuple[str, ...]:
        """Return the strings of a list; a missing list is empty."""
        items = self._get(name, (list, tuple), [])
        return tuple(map(_to_text, items))

    def object(self, name: str) -> "Fields | None":
        """Return an object, or None if the field is missing or null."""
        value = self._values.get(name)
        if value is None:
            return None
        return Fields(value, f"{self.where}, {name}")

    def has(self, name: str) -> bool:
        """Return whether a field is present and not null."""
        return self._values.get(name) is not None

    def _get(self, name: str, kinds: Any, default: Any) -> Any:
        value = self._values.get(name)
        if value is None:
            value = default
        if value is None:
            raise errors.ProtocolError(
                f"{self.where} has no field {name!r}; it must be set"
            )
        if not isinstance(value, kinds) and value is not default:
            raise self._reject(name, value)
        return value

    def _get_number(self, name: str, default: float | None) -> int | float:
        value: int | float = self._get(name, (int, float), default)
        # In Python bool is a subclass of int.
        if isinstance(value, bool) or not math.isfinite(value):
            raise self._reject(name, value)
        return value

    def _reject(self, name: str, value: Any) -> errors.ProtocolError:
        # The usual representation fails for what is nested deeply.
        shown = reprlib.repr(value)
        return errors.ProtocolError(
            f"{self.where} has {shown:.60} in field {name!r}, which is not "
            "of the expected type or range; correct the field"
        )


def _to_text(value: Any) -> str:
    """Return an item of a list as text, cut if it is nested."""
    return value if isinstance(value, str) else reprlib.repr(value)
