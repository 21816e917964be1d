"""Configuration files in TOML, with one table for each object.

The table's name consists of the kind and the name of the object, for example
``[service.catalog-llm]``; its keys are the object's fields.
"""

from collections.abc import Sequence
import tomllib

from magnoliacove import configuration
from magnoliacove import errors

__all__ = ["parse_objects", "format_objects"]


def parse_objects(
    text: str,
) -> list[configuration.ConfigurationObject]:
    """Return the checked objects of a file.

    :raises magnoliacove.errors.UserError: if the file is invalid; the
        message names the mistake.
    """
    try:
        tables = tomllib.loads(text)
    except tomllib.TOMLDecodeError as exc:
        raise errors.UserError(
            f"the file is not valid TOML: {exc}; write one table for each "
            "object, such as [service.catalog-llm]"
        ) from exc
    items = []
    for kind, objects in tables.items():
        if not isinstance(objects, dict):
            raise errors.UserError(
                f"{kind!r} is not in a table; write it below [{kind}.NAME]"
            )
        for name, values in objects.items():
            if not isinstance(values, dict):
                raise errors.UserError(
                    f"[{kind}] needs a name; write [{kind}.NAME] above "
                    f"{name!r}"
                )
            items.append(
                configuration.make_object(kind, {"name": name, **values})
            )
    return items


def format_objects(
    items: Sequence[configuration.ConfigurationObject],
) -> str:
    """Return the text of a file that describes objects."""
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
