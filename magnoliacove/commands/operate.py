"""``magnoliacove``: the command line for operators."""

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
    """Client and output format of one invocation."""

    client: clients.OperatorsClient
    as_json: bool

    def show(self, data: Any, text: str) -> None:
        """Print the data as JSON, or the text, as the user chose."""
        click.echo(json.dumps(data, indent=2) if self.as_json else text)


@click.group()
@click.option(
    "--server",
    default="http://127.0.0.1:8081",
    show_default=True,
    show_envvar=True,
    help="URL on which an entry serves operators.",
)
@click.option(
    "--operator-key",
    required=True,
    show_envvar=True,
    help="Your operator key; it identifies you in the time line.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.pass_context
def _command(
    ctx: click.Context, server: str, operator_key: str, as_json: bool
) -> None:
    """Inspect and change a running system."""
    client = clients.OperatorsClient(server, operator_key)
    ctx.obj = _Session(client, as_json)


# Reading.


@_command.command("list")
@click.argument("kind", type=_KIND)
@click.pass_obj
def _list(session: _Session, kind: str) -> None:
    """List the objects of one kind."""
    response = session.client.read(kind)
    items = [
        (conversion.read_item(item), item.version) for item in response.items
    ]
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
    """Show one object in the format of a configuration file."""
    stored = session.client.read(kind, name).items[0]
    item = conversion.read_item(stored)
    session.show(
        _describe(item, stored.version), files.format_objects([item]).rstrip()
    )


@_command.command("status")
@click.pass_obj
def _status(session: _Session) -> None:
    """Show the configuration version of each instance and the services."""
    status = session.client.get_status()
    store = "" if status.store_reachable else " (the store is unreachable)"
    lines = [f"configuration version {status.version}{store}"]
    for service in status.services:
        state = "served" if service.served else "NOT SERVED"
        lines.append(
            f"service {service.name}: {state}, {service.usable} of "
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
        item = _make(kind, name, _read_given_fields(ctx, values))
        _apply(ctx.obj, [conversion.write_put(item, 0)])

    def update(ctx: click.Context, name: str, **values: Any) -> None:
        stored = ctx.obj.client.read(kind, name).items[0]
        present = configuration.to_values(conversion.read_item(stored))
        del present["name"]
        item = _make(
            kind, name, {**present, **_read_given_fields(ctx, values)}
        )
        _apply(ctx.obj, [conversion.write_put(item, stored.version)])

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
        repeatable = hints[field.name] not in _OPTION_TYPES
        options.append(
            click.option(
                flag,
                multiple=repeatable,
                type=str if repeatable else hints[field.name],
                help="Can be repeated." if repeatable else None,
            )
        )
    if kind == "client_account":
        options.append(
            click.option(
                "--api-key",
                multiple=True,
                help="API key of the account; only its hash is stored.",
            )
        )
    if kind == "target":
        options.append(
            click.option("--layers", help="Range of layers, as 0-16.")
        )
    return options


def _read_given_fields(
    ctx: click.Context, values: dict[str, Any]
) -> dict[str, Any]:
    """Return the fields that were set on the command line."""
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
            f"--layers {text!r} is not a range; write the first layer and one "
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
    """Delete one object that no other object refers to."""
    version = session.client.read(kind, name).items[0].version
    _apply(session, [conversion.write_removal(kind, name, version)])


@_command.command("drain")
@click.argument("target")
@click.option("--undo", is_flag=True, help="Let the target accept work again.")
@click.pass_obj
def _drain(session: _Session, target: str, undo: bool) -> None:
    """Send a target no new work; its running work finishes or moves."""
    stored = session.client.read("target", target).items[0]
    values = configuration.to_values(conversion.read_item(stored))
    values["state"] = "active" if undo else "draining"
    item = configuration.make_object("target", values)
    _apply(session, [conversion.write_put(item, stored.version)])


@_command.command("order")
@click.argument("target")
@click.argument("action")
@click.argument("argument", default="")
@click.pass_obj
def _order(session: _Session, target: str, action: str, argument: str) -> None:
    """Order a target's engine to load or change something."""
    result = session.client.give_order(target, action, argument)
    if not result.applied:
        raise errors.UserError(f"the order was refused: {result.reason}")
    session.show(
        _to_data(result), f"applied under fencing token {result.fence}"
    )


# Files.

_FILE = click.option(
    "-f", "--file", "path", type=click.File(encoding="utf-8"), required=True
)
_PRUNE = click.option(
    "--prune", is_flag=True, help="Delete objects that are not in the file."
)


@_command.command("plan")
@_FILE
@_PRUNE
@click.pass_obj
def _plan(session: _Session, path: Any, prune: bool) -> None:
    """Show the changes that applying a file would make."""
    operations = _compare(session, files.parse_objects(path.read()), prune)
    _show_plan(session, operations)


@_command.command("apply")
@_FILE
@_PRUNE
@click.option("--yes", is_flag=True, help="Do not ask for confirmation.")
@click.pass_obj
def _apply_file(session: _Session, path: Any, prune: bool, yes: bool) -> None:
    """Change the configuration to match a file, as one version."""
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
    """Print the entire configuration in file format."""
    items = [
        conversion.read_item(item)
        for kind in configuration.KINDS
        for item in session.client.read(kind).items
    ]
    click.echo(files.format_objects(items).rstrip())


def _compare(
    session: _Session,
    desired: Sequence[configuration.ConfigurationObject],
    prune: bool,
) -> list[pb.Operation]:
    """Return the operations that lead to the desired configuration.

    :param desired: all objects of that configuration.
    :param prune: whether to delete objects that are not among them.
    """
    present: dict[tuple[str, str], tuple[Any, int]] = {}
    for kind in configuration.KINDS:
        for stored in session.client.read(kind).items:
            item = conversion.read_item(stored)
            present[(kind, item.name)] = (item, stored.version)
    operations = []
    for item in desired:
        existing, version = present.pop((item.kind, item.name), (None, 0))
        if existing != item:
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
        text += " (already applied by an earlier attempt)"
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
