"""Settings that the programs share: flags, variables and their checks.

Each flag can be set by a variable: ``--data-centre`` by
``MAGNOLIACOVE_DATA_CENTRE``.  The flag goes first.
"""

from collections.abc import Callable
from collections.abc import Mapping
import functools
import socket
from typing import Any

import click

from magnoliacove import errors
from magnoliacove import sockets
from magnoliacove import wire
from magnoliacove.flags import PREFIX
from magnoliacove.flags import log_level_option
from magnoliacove.process import Identity

__all__ = [
    "AddressType",
    "bind",
    "make_network",
    "process_options",
    "read_identity",
    "read_network",
    "require_loopback",
    "tls_options",
]


class AddressType(click.ParamType):
    """An IP number and a port."""

    name = "address"

    def convert(self, value: Any, param: Any, ctx: Any) -> wire.Address:
        """Return the address, or fail naming the flag and the variable."""
        if isinstance(value, wire.Address):
            return value
        try:
            return wire.Address.parse(value)
        except errors.UserError as why:
            self.fail(str(why), param, ctx)


_ADDRESS = AddressType()


def process_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add the options that every long-running program has."""
    options = [
        click.option(
            "--name",
            required=True,
            show_envvar=True,
            help="This process's name; an agent has its target's name.",
        ),
        click.option(
            "--data-centre",
            required=True,
            show_envvar=True,
            help="The data centre that this instance is in.",
        ),
        click.option(
            "--listen",
            type=_ADDRESS,
            default="127.0.0.1:0",
            show_default=True,
            show_envvar=True,
            help="Where other magnoliacove processes connect.",
        ),
        click.option(
            "--advertise",
            type=_ADDRESS,
            show_envvar=True,
            help="The address that others dial, when it differs.",
        ),
        click.option(
            "--object-api",
            required=True,
            show_envvar=True,
            help="The platform's object API, as http://10.0.0.2:8500.",
        ),
        click.option(
            "--seed",
            "seeds",
            multiple=True,
            type=_ADDRESS,
            show_envvar=True,
            help="A peer to ask while the object API is down.",
        ),
        click.option(
            "--metrics",
            type=_ADDRESS,
            show_envvar=True,
            help="Where /metrics, /healthz and /readyz are served.",
        ),
        log_level_option,
    ]
    return _add(tls_options(command), options)


def tls_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add the options for TLS between our processes."""
    options = [
        click.option(
            f"--tls-{part}",
            type=click.Path(exists=True, dir_okay=False),
            show_envvar=True,
            help=text,
        )
        for part, text in (
            ("certificate", "This process's certificate, as a PEM file."),
            ("key", "The certificate's key, as a PEM file."),
            ("authority", "The authority that vouches for all processes."),
        )
    ]
    return _add(command, options)


def _add(
    command: Callable[..., Any], options: list[Callable[..., Any]]
) -> Callable[..., Any]:
    return functools.reduce(lambda c, o: o(c), reversed(options), command)


def make_network(
    certificate: str | None, key: str | None, authority: str | None
) -> wire.Network:
    """Return how this process reaches others.

    :raises magnoliacove.errors.UserError: when the files do not fit.
    """
    given = (certificate, key, authority)
    if not any(given):
        return wire.Network()
    if certificate is None or key is None or authority is None:
        raise errors.UserError(
            "--tls-certificate, --tls-key and --tls-authority "
            f"({PREFIX}_TLS_CERTIFICATE, {PREFIX}_TLS_KEY, "
            f"{PREFIX}_TLS_AUTHORITY) belong together; set all or none"
        )
    return wire.Network(wire.TlsFiles(certificate, key, authority))


def read_identity(options: Mapping[str, Any], role: str) -> Identity:
    """Return who the process is, from checked options.

    :raises magnoliacove.errors.UserError: when it would listen in the open
        without TLS.
    """
    secure = options["tls_certificate"] is not None
    for name in ("listen", "callers", "operators", "metrics"):
        require_loopback(f"--{name}", options.get(name), secure)
    return Identity(
        options["name"],
        role,
        options["data_centre"],
        options["listen"],
        options["advertise"],
    )


def read_network(options: Mapping[str, Any]) -> wire.Network:
    """Return how the process reaches others, from checked options."""
    return make_network(
        options["tls_certificate"],
        options["tls_key"],
        options["tls_authority"],
    )


def require_loopback(
    flag: str, address: wire.Address | None, secure: bool
) -> None:
    """Refuse to listen in the open without TLS.

    :raises magnoliacove.errors.UserError: naming the flag.
    """
    if address is None or secure or address.loopback:
        return
    variable = f"{PREFIX}_{flag.strip('-').replace('-', '_').upper()}"
    raise errors.UserError(
        f"{flag} ({variable}) is {address}, which others can reach, but "
        "there is no TLS; set --tls-certificate, --tls-key and "
        "--tls-authority, or listen on 127.0.0.1"
    )


def bind(flag: str, address: wire.Address) -> socket.socket:
    """Return a listening socket.

    :raises magnoliacove.errors.UserError: naming the flag.
    """
    try:
        return sockets.bind_socket(address.host, address.port)
    except OSError as why:
        variable = f"{PREFIX}_{flag.strip('-').replace('-', '_').upper()}"
        raise errors.UserError(
            f"{flag} ({variable}) {address} cannot be used: {why.strerror}; "
            "choose another address or port"
        ) from why
