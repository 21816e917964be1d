"""``magnoliacove-timeline``: what happened, over all processes."""

from collections.abc import Sequence
from typing import Any

import click
import trio

from magnoliacove import directory
from magnoliacove import errors
from magnoliacove import flags
from magnoliacove import platform
from magnoliacove import settings
from magnoliacove import wire
from magnoliacove.commands import running
from magnoliacove.directory.instances import read_entry
from magnoliacove.directory.listed import split_incarnation
from magnoliacove.timeline import Event
from magnoliacove.timeline import gather
from magnoliacove.timeline import losses
from magnoliacove.timeline import losses_view
from magnoliacove.timeline import render
from magnoliacove.wire import messages

_ADDRESS = settings.AddressType()


@click.command()
@click.option(
    "--object-api", show_envvar=True, help="Where to look up the processes."
)
@click.option(
    "--process",
    "processes",
    multiple=True,
    type=_ADDRESS,
    help="A process to ask; may be given more than once.",
)
@click.option(
    "--log",
    "log_files",
    multiple=True,
    type=click.File(encoding="utf-8"),
    help="A JSON-lines log to read as well.",
)
@click.option("--request", default="", help="Only this request.")
@click.option("--target", default="", help="Only this target.")
@click.option("--instance", default="", help="Only this process.")
@click.option("--kind", default="", help="Only events of this kind.")
@click.option("--follow", is_flag=True, help="Go on with what happens.")
@click.option("--explain", is_flag=True, help="Say in words what happened.")
@click.option(
    "--losses",
    is_flag=True,
    help="Count failed and late requests by cause and by second.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON lines.")
@click.option(
    "--html", type=click.Path(dir_okay=False), help="Write a picture."
)
@settings.tls_options
def _command(**options: Any) -> None:
    """Gather the events of all processes and show them in order.

    Each process keeps its recent events in memory only; a process that
    has died is known by what the others saw of it, and by its log.
    """
    running.show_user_errors(lambda: trio.run(_run, options))


async def _run(options: dict[str, Any]) -> None:
    if options["explain"] and not options["request"]:
        raise errors.UserError("--explain needs --request NAME")
    network = settings.read_network(options)
    addresses = await _find_processes(options)
    query = messages.EventsQuery(
        options["request"], options["target"], options["follow"]
    )
    if options["follow"]:
        await _follow(network, addresses, query, options)
        return
    asked = await _ask_all(network, addresses, query)
    logged = [gather.read_log(file) for file in options["log_files"]]
    events = _filter(gather.merge_events([asked, *logged]), options)
    if options["losses"]:
        found = losses.find_losses(events)
        click.echo(losses_view.render_losses_text(found))
        await _write_page(options, losses_view.render_losses_html(found))
    elif options["html"]:
        await _write_page(options, render.render_html(events, "Time line"))
    elif options["explain"]:
        click.echo(render.explain_request(events, options["request"]))
    else:
        _show(events, options)


async def _write_page(options: dict[str, Any], page: str) -> None:
    """Write the picture if one was asked for."""
    if options["html"]:
        await trio.Path(options["html"]).write_text(page, encoding="utf-8")
        click.echo(f"the picture is in {options['html']}")


async def _find_processes(options: dict[str, Any]) -> list[wire.Address]:
    found = list(options["processes"])
    url = options["object_api"]
    if url:
        try:
            listing = await platform.HttpObjectApi(url).list_records(
                directory.PREFIX
            )
        except errors.PlatformError as why:
            if not found:
                raise errors.UserError(
                    f"{why}; name processes with --process instead"
                ) from why
            click.echo(f"warning: {why}", err=True)
        else:
            entries = [read_entry(r.value) for r in listing.records]
            found.extend(
                entry.parsed_address
                for entry in entries
                if isinstance(entry, directory.Instance)
            )
    if not found and not options["log_files"]:
        raise errors.UserError(
            "no process is named; set --object-api "
            "(MAGNOLIACOVE_OBJECT_API), --process or --log"
        )
    return list(dict.fromkeys(found))


async def _ask_all(
    network: wire.Network,
    addresses: Sequence[wire.Address],
    query: messages.EventsQuery,
) -> list[Event]:
    send, receive = trio.open_memory_channel[Event](10_000)
    silent: list[str] = []
    found: list[Event] = []

    async def ask(address: wire.Address) -> None:
        if not await gather.query_events(network, address, query, send):
            silent.append(str(address))

    async def collect() -> None:
        async for event in receive:
            found.append(event)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(collect)
        async with trio.open_nursery() as askers:
            for address in addresses:
                askers.start_soon(ask, address)
        await send.aclose()
    if silent:
        click.echo(f"no answer from {', '.join(silent)}", err=True)
    return found


async def _follow(
    network: wire.Network,
    addresses: Sequence[wire.Address],
    query: messages.EventsQuery,
    options: dict[str, Any],
) -> None:
    send, receive = trio.open_memory_channel[Event](10_000)
    async with trio.open_nursery() as nursery:
        for address in addresses:
            nursery.start_soon(
                gather.query_events, network, address, query, send
            )
        async for event in receive:
            _show(_filter([event], options), options)


def _filter(events: Sequence[Event], options: dict[str, Any]) -> list[Event]:
    return [
        event
        for event in events
        if event.request.startswith(options["request"])
        and options["target"] in ("", *event.targets, *_name_entries(event))
        and options["instance"] in ("", event.process)
        and options["kind"] in ("", event.kind)
    ]


def _name_entries(event: Event) -> list[str]:
    """Return the names of an event's targets without their incarnations."""
    return [split_incarnation(name)[0] for name in event.targets]


def _show(events: Sequence[Event], options: dict[str, Any]) -> None:
    if not events:
        return
    if options["as_json"]:
        for event in events:
            click.echo(event.to_json())
        return
    click.echo(render.render_text(events))


def main() -> None:
    """Run the program."""
    _command(auto_envvar_prefix=flags.PREFIX)
