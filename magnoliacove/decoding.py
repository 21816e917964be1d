"""Decoding of values that other programs wrote.

A value of another shape or type, with a number that is too large, or nested
too deeply, must not end the process that reads it.
"""

from dataclasses import fields
import reprlib
from typing import Any

__all__ = ["DECODE_ERRORS", "check_types"]

# What decoding raises for such a value.
DECODE_ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)


def check_types(item: Any) -> None:
    """Check that the values of a data class have the types of its fields.

    Values of another type fail later, where they are compared or sorted.

    :raises TypeError: when one has not.
    """
    for field in fields(item):
        value = getattr(item, field.name)
        if not isinstance(value, field.type):  # type: ignore[arg-type]
            raise TypeError(f"{field.name} is {reprlib.repr(value)}")
