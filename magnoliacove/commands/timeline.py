"""``magnoliacove-timeline``: the events of all processes in order."""

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
    "--object-api",
    show_envvar=True,
    help="URL of the object API that lists the processes.",
)
@click.option(
    "--process",
    "processes",
    multiple=True,
    type=_ADDRESS,
    help="Address of a process to query; can be repeated.",
)
@click.option(
    "--log",
    "log_files",
    multiple=True,
    type=click.File(encoding="utf-8"),
    help="JSON-lines log to read in addition; can be repeated.",
)
@click.option("--request", default="", help="Show only this request.")
@click.option("--target", default="", help="Show only this target.")
@click.option("--instance", default="", help="Show only this process.")
@click.option("--kind", default="", help="Show only events of this kind.")
@click.option(
    "--follow", is_flag=True, help="Continue with new events as they happen."
)
@click.option(
    "--explain", is_flag=True, help="Describe the request's events in words."
)
@click.option(
    "--losses",
    is_flag=True,
    help="Count failed and late requests by cause and second.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON lines.")
@click.option(
    "--html", type=click.Path(dir_okay=False), help="Write an HTML page."
)
@settings.tls_options
def _command(**options: Any) -> None:
    """Collect the events of all processes and show them in order.

    Processes keep their recent events in memory only.  For a process that
    has ended, only its log and the events of other processes remain.
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
    queried = await _query_processes(network, addresses, query)
    logged = [gather.read_log(file) for file in options["log_files"]]
    events = _filter(gather.merge_events([queried, *logged]), options)
    if options["losses"]:
        lost = losses.find_losses(events)
        click.echo(losses_view.render_losses_text(lost))
        await _write_page(options, losses_view.render_losses_html(lost))
    elif options["html"]:
        await _write_page(options, render.render_html(events, "Time line"))
    elif options["explain"]:
        click.echo(render.explain_request(events, options["request"]))
    else:
        _show(events, options)


async def _write_page(options: dict[str, Any], page: str) -> None:
    """Write the HTML page if the user requested one."""
    if options["html"]:
        await trio.Path(options["html"]).write_text(page, encoding="utf-8")
        click.echo(f"wrote the page to {options['html']}")


async def _find_processes(options: dict[str, Any]) -> list[wire.Address]:
    addresses = list(options["processes"])
    url = options["object_api"]
    if url:
        try:
            listing = await platform.HttpObjectApi(url).list_records(
                directory.PREFIX
            )
        except errors.PlatformError as exc:
            if not addresses:
                raise errors.UserError(
                    f"{exc}; name processes with --process instead"
                ) from exc
            click.echo(f"warning: {exc}", err=True)
        else:
            entries = [read_entry(record.value) for record in listing.records]
            addresses.extend(
                entry.parsed_address
                for entry in entries
                if isinstance(entry, directory.Instance)
            )
    if not addresses and not options["log_files"]:
        raise errors.UserError(
            "no process is named; set --object-api "
            "(MAGNOLIACOVE_OBJECT_API), --process or --log"
        )
    return list(dict.fromkeys(addresses))


async def _query_processes(
    network: wire.Network,
    addresses: Sequence[wire.Address],
    query: messages.EventsQuery,
) -> list[Event]:
    """Return the events of all processes, and warn of unresponsive ones."""
    send, receive = trio.open_memory_channel[Event](10_000)
    silent: list[str] = []
    found: list[Event] = []

    async def query_one(address: wire.Address) -> None:
        if not await gather.query_events(network, address, query, send):
            silent.append(str(address))

    async def collect() -> None:
        async for event in receive:
            found.append(event)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(collect)
        async with trio.open_nursery() as queries:
            for address in addresses:
                queries.start_soon(query_one, address)
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
        and options["target"]
        in ("", *event.targets, *_strip_incarnations(event))
        and options["instance"] in ("", event.process)
        and options["kind"] in ("", event.kind)
    ]


def _strip_incarnations(event: Event) -> list[str]:
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
