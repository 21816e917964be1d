"""Configuration files: TOML with one table for each object.

A table is named by kind and name, as ``[service.catalog-llm]``; its
entries are the object's fields.
"""

from collections.abc import Sequence
import tomllib

from magnoliacove import configuration
from magnoliacove import errors

__all__ = ["parse_file", "write_file"]


def parse_file(
    text: str,
) -> list[configuration.ConfigurationObject]:
    """Return the checked objects of a file.

    :raises magnoliacove.errors.UserError: naming the table that is wrong.
    """
    try:
        tables = tomllib.loads(text)
    except tomllib.TOMLDecodeError as why:
        raise errors.UserError(
            f"the file is no TOML: {why}; write one table for each object, "
            "as [service.catalog-llm]"
        ) from why
    found = []
    for kind, named in tables.items():
        if not isinstance(named, dict):
            raise errors.UserError(
                f"{kind!r} stands outside a table; write [{kind}.NAME]"
            )
        for name, values in named.items():
            if not isinstance(values, dict):
                raise errors.UserError(
                    f"[{kind}] needs a name; write [{kind}.NAME] above "
                    f"{name!r}"
                )
            found.append(
                configuration.make_object(kind, {"name": name, **values})
            )
    return found


def write_file(
    items: Sequence[configuration.ConfigurationObject],
) -> str:
    """Return the file that describes objects."""
    parts = []
    for item in items:
        lines = [f"[{item.kind}.{item.name}]"]
        for name, value in configuration.to_values(item).items():
            if name != "name":
                lines.append(f"{name} = {_write_value(value)}")
        parts.append("\n".join(lines))
    return "\n\n".join(parts) + "\n"


def _write_value(value: object) -> str:
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, list):
        return "[" + ", ".join(map(_write_value, value)) + "]"
    if isinstance(value, str):
        escaped = value.replace("\\", "\\\\").replace('"', '\\"')
        return f'"{escaped}"'
    return str(value)
