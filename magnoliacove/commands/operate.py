"""``magnoliacove``: the operators' command line over the typed calls."""

from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import fields
import json
from typing import Any
from typing import get_type_hints

import click

from magnoliacove import configuration
from magnoliacove import errors
from magnoliacove import flags
from magnoliacove.commands import running
from magnoliacove.operators import client as clients
from magnoliacove.operators import conversion
from magnoliacove.operators import files
from magnoliacove.operators.generated import operators_pb as pb

_KIND = click.Choice(list(configuration.KINDS))
_OPTION_TYPES = {str: str, int: int, float: float, bool: bool}


@dataclass(frozen=True)
class _Session:
    """What every command needs."""

    client: clients.OperatorsClient
    as_json: bool

    def show(self, data: Any, text: str) -> None:
        """Print data for a script or text for a person."""
        click.echo(json.dumps(data, indent=2) if self.as_json else text)


@click.group()
@click.option(
    "--server",
    default="http://127.0.0.1:8081",
    show_default=True,
    show_envvar=True,
    help="An entry's address for operators.",
)
@click.option(
    "--operator-key",
    required=True,
    show_envvar=True,
    help="Your key; it names you in the time line.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.pass_context
def _command(
    ctx: click.Context, server: str, operator_key: str, as_json: bool
) -> None:
    """Change and inspect a running system."""
    client = clients.OperatorsClient(server, operator_key)
    ctx.obj = _Session(client, as_json)


# Reading.


@_command.command("list")
@click.argument("kind", type=_KIND)
@click.pass_obj
def _list(session: _Session, kind: str) -> None:
    """List the objects of a kind."""
    found = session.client.read(kind)
    items = [(conversion.read_item(i), i.version) for i in found.items]
    text = "\n".join(
        f"{item.name:<24} changed in version {version}"
        for item, version in items
    )
    data = [_describe(item, version) for item, version in items]
    session.show(data, text or f"there is no {kind}")


@_command.command("show")
@click.argument("kind", type=_KIND)
@click.argument("name")
@click.pass_obj
def _show(session: _Session, kind: str, name: str) -> None:
    """Show one object as it would stand in a file."""
    found = session.client.read(kind, name).items[0]
    item = conversion.read_item(found)
    session.show(
        _describe(item, found.version), files.format_objects([item]).rstrip()
    )


@_command.command("status")
@click.pass_obj
def _status(session: _Session) -> None:
    """Show which version is in force where, and what is served."""
    status = session.client.get_status()
    store = "" if status.store_reachable else " (the store is unreachable)"
    lines = [f"configuration version {status.version}{store}"]
    for service in status.services:
        word = "served" if service.served else "NOT SERVED"
        lines.append(
            f"service {service.name}: {word}, {service.usable} of "
            f"{service.targets} targets usable"
        )
    for instance in status.instances:
        behind = status.version - instance.configuration_version
        note = (
            ""
            if instance.state == "unreachable" or not behind
            else (f" ({behind} behind)")
        )
        lines.append(
            f"{instance.role} {instance.name:<20} {instance.data_centre:<12} "
            f"{instance.address:<22} {instance.state:<12} version "
            f"{instance.configuration_version}{note}"
        )
    session.show(_to_data(status), "\n".join(lines))


# Changing.


@_command.group("create")
def _create() -> None:
    """Create one object."""


@_command.group("update")
def _update() -> None:
    """Change fields of one object."""


def _add_kind_commands(kind: str) -> None:
    def create(ctx: click.Context, name: str, **values: Any) -> None:
        item = _make(kind, name, _given(ctx, values))
        _apply(ctx.obj, [conversion.write_put(item, 0)])

    def update(ctx: click.Context, name: str, **values: Any) -> None:
        found = ctx.obj.client.read(kind, name).items[0]
        present = configuration.to_values(conversion.read_item(found))
        del present["name"]
        item = _make(kind, name, {**present, **_given(ctx, values)})
        _apply(ctx.obj, [conversion.write_put(item, found.version)])

    title = kind.replace("_", " ")
    for group, function, verb in (
        (_create, create, "Create"),
        (_update, update, "Change"),
    ):
        wrapped = click.pass_context(function)
        decorated: Any = click.argument("name")(wrapped)
        for option in reversed(_list_options(kind)):
            decorated = option(decorated)
        help_text = f"{verb} a {title}."
        group.command(kind.replace("_", "-"), help=help_text)(decorated)


def _list_options(kind: str) -> list[Callable[..., Any]]:
    hints = get_type_hints(configuration.KINDS[kind])
    options = []
    for field in fields(configuration.KINDS[kind]):
        if field.name == "name":
            continue
        flag = "--" + field.name.replace("_", "-")
        many = hints[field.name] not in _OPTION_TYPES
        options.append(
            click.option(
                flag,
                multiple=many,
                type=str if many else hints[field.name],
                help="May be given more than once." if many else None,
            )
        )
    if kind == "client_account":
        options.append(
            click.option(
                "--api-key",
                multiple=True,
                help="A caller's key; only its hash is stored.",
            )
        )
    if kind == "target":
        options.append(
            click.option("--layers", help="A range of layers, as 0-16.")
        )
    return options


def _given(ctx: click.Context, values: dict[str, Any]) -> dict[str, Any]:
    """Return the fields that were given on the command line."""
    source = click.core.ParameterSource.DEFAULT
    given = {
        name: value
        for name, value in values.items()
        if ctx.get_parameter_source(name) is not source
    }
    keys = given.pop("api_key", ())
    if keys:
        hashes = tuple(map(configuration.hash_key, keys))
        given["key_hashes"] = (*given.get("key_hashes", ()), *hashes)
    layers = given.pop("layers", None)
    if isinstance(layers, str):
        given.update(_read_layers(layers))
    elif layers is not None:
        given["layers"] = layers
    return given


def _read_layers(text: str) -> dict[str, int]:
    first, _, end = text.partition("-")
    if not (first.isdigit() and end.isdigit()):
        raise errors.UserError(
            f"--layers {text!r} is no range; write the first layer and one "
            "past the last, as 0-16"
        )
    return {"first_layer": int(first), "end_layer": int(end)}


def _make(
    kind: str, name: str, values: dict[str, Any]
) -> configuration.ConfigurationObject:
    return configuration.make_object(kind, {"name": name, **values})


for _name in configuration.KINDS:
    _add_kind_commands(_name)


@_command.command("delete")
@click.argument("kind", type=_KIND)
@click.argument("name")
@click.pass_obj
def _delete(session: _Session, kind: str, name: str) -> None:
    """Delete one object that nothing refers to."""
    version = session.client.read(kind, name).items[0].version
    _apply(session, [conversion.write_removal(kind, name, version)])


@_command.command("drain")
@click.argument("target")
@click.option("--undo", is_flag=True, help="Let it take work again.")
@click.pass_obj
def _drain(session: _Session, target: str, undo: bool) -> None:
    """Give a target no new work; what it runs ends or moves."""
    found = session.client.read("target", target).items[0]
    values = configuration.to_values(conversion.read_item(found))
    values["state"] = "active" if undo else "draining"
    item = configuration.make_object("target", values)
    _apply(session, [conversion.write_put(item, found.version)])


@_command.command("order")
@click.argument("target")
@click.argument("action")
@click.argument("argument", default="")
@click.pass_obj
def _order(session: _Session, target: str, action: str, argument: str) -> None:
    """Order the engine beside a target to load or change something."""
    result = session.client.give_order(target, action, argument)
    if not result.applied:
        raise errors.UserError(f"the order was refused: {result.reason}")
    session.show(
        _to_data(result), f"applied under fencing number {result.fence}"
    )


# Files.

_FILE = click.option(
    "-f", "--file", "path", type=click.File(encoding="utf-8"), required=True
)
_PRUNE = click.option(
    "--prune", is_flag=True, help="Delete what the file does not name."
)


@_command.command("plan")
@_FILE
@_PRUNE
@click.pass_obj
def _plan(session: _Session, path: Any, prune: bool) -> None:
    """Show what applying a file would change."""
    operations = _compare(session, files.parse_objects(path.read()), prune)
    _show_plan(session, operations)


@_command.command("apply")
@_FILE
@_PRUNE
@click.option("--yes", is_flag=True, help="Do not ask.")
@click.pass_obj
def _apply_file(session: _Session, path: Any, prune: bool, yes: bool) -> None:
    """Make the configuration what a file says, as one version."""
    operations = _compare(session, files.parse_objects(path.read()), prune)
    if not operations:
        session.show({"version": None}, "nothing to change")
        return
    if not yes:
        _show_plan(session, operations)
        click.confirm("apply?", abort=True, err=session.as_json)
    _apply(session, operations)


@_command.command("export")
@click.pass_obj
def _export(session: _Session) -> None:
    """Print the whole configuration as a file."""
    found = [
        conversion.read_item(item)
        for kind in configuration.KINDS
        for item in session.client.read(kind).items
    ]
    click.echo(files.format_objects(found).rstrip())


def _compare(
    session: _Session,
    wanted: Sequence[configuration.ConfigurationObject],
    prune: bool,
) -> list[pb.Operation]:
    """Return the operations that lead from what is to what is wanted."""
    present: dict[tuple[str, str], tuple[Any, int]] = {}
    for kind in configuration.KINDS:
        for found in session.client.read(kind).items:
            item = conversion.read_item(found)
            present[(kind, item.name)] = (item, found.version)
    operations = []
    for item in wanted:
        held, version = present.pop((item.kind, item.name), (None, 0))
        if held != item:
            operations.append(conversion.write_put(item, version))
    if prune:
        operations.extend(
            conversion.write_removal(kind, name, version)
            for (kind, name), (_, version) in present.items()
        )
    return operations


def _show_plan(session: _Session, operations: Sequence[pb.Operation]) -> None:
    if not operations:
        session.show({"changes": []}, "nothing to change")
        return
    plan = session.client.plan(operations)
    lines = [f"on top of version {plan.version}:"]
    for change in plan.changes:
        lines.append(f"  {change.action} {change.kind} {change.name}")
        lines.extend(
            f"      {field.name}: {field.before or '-'} -> {field.after}"
            for field in change.fields
        )
    session.show(_to_data(plan), "\n".join(lines))


def _apply(session: _Session, operations: Sequence[pb.Operation]) -> None:
    result = session.client.apply(operations)
    text = f"accepted as version {result.version}"
    if result.already_applied:
        text += " (an earlier try had applied it)"
    session.show(_to_data(result), text)


def _describe(
    item: configuration.ConfigurationObject, version: int
) -> dict[str, Any]:
    return {**configuration.to_values(item), "version": version}


def _to_data(message: Any) -> Any:
    return json.loads(message.to_json())


def main() -> None:
    """Run the command line."""
    running.show_user_errors(
        lambda: _command(auto_envvar_prefix=flags.PREFIX, standalone_mode=True)
    )
