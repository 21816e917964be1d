"""Command-line settings shared by the programs, and their validation.

An environment variable can set each flag, for example
``MAGNOLIACOVE_DATA_CENTRE`` for ``--data-centre``.  The flag takes
precedence.
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
    """An IP address and a port."""

    name = "address"

    def convert(self, value: Any, param: Any, ctx: Any) -> wire.Address:
        """Return the address, or fail with the flag and the variable."""
        if isinstance(value, wire.Address):
            return value
        try:
            return wire.Address.parse(value)
        except errors.UserError as exc:
            self.fail(str(exc), param, ctx)


_ADDRESS = AddressType()


def process_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add the options common to all long-running programs."""
    options = [
        click.option(
            "--name",
            required=True,
            show_envvar=True,
            help="Name of this process; an agent uses its target's name.",
        ),
        click.option(
            "--data-centre",
            required=True,
            show_envvar=True,
            help="Data centre of this instance.",
        ),
        click.option(
            "--listen",
            type=_ADDRESS,
            default="127.0.0.1:0",
            show_default=True,
            show_envvar=True,
            help="Address on which other magnoliacove processes connect.",
        ),
        click.option(
            "--advertise",
            type=_ADDRESS,
            show_envvar=True,
            help="Address that other processes dial, if it differs.",
        ),
        click.option(
            "--object-api",
            required=True,
            show_envvar=True,
            help="URL of the platform's object API, as http://10.0.0.2:8500.",
        ),
        click.option(
            "--seed",
            "seeds",
            multiple=True,
            type=_ADDRESS,
            show_envvar=True,
            help="Peer to query while the object API is unavailable.",
        ),
        click.option(
            "--metrics",
            type=_ADDRESS,
            show_envvar=True,
            help="Address that serves /metrics, /healthz and /readyz.",
        ),
        log_level_option,
    ]
    return _add(tls_options(command), options)


def tls_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add the options for TLS between magnoliacove processes."""
    options = [
        click.option(
            f"--tls-{part}",
            type=click.Path(exists=True, dir_okay=False),
            show_envvar=True,
            help=text,
        )
        for part, text in (
            ("certificate", "PEM file with the certificate of this process."),
            ("key", "PEM file with the private key of the certificate."),
            ("authority", "PEM file with the CA of all certificates."),
        )
    ]
    return _add(command, options)


def _add(
    command: Callable[..., Any], options: list[Callable[..., Any]]
) -> Callable[..., Any]:
    return functools.reduce(
        lambda decorated, decorator: decorator(decorated),
        reversed(options),
        command,
    )


def make_network(
    certificate: str | None, key: str | None, authority: str | None
) -> wire.Network:
    """Return the network through which this process connects to others.

    :raises magnoliacove.errors.UserError: when only some of the files are
        set, or the files cannot be used.
    """
    files = (certificate, key, authority)
    if not any(files):
        return wire.Network()
    if certificate is None or key is None or authority is None:
        raise errors.UserError(
            "--tls-certificate, --tls-key and --tls-authority "
            f"({PREFIX}_TLS_CERTIFICATE, {PREFIX}_TLS_KEY, "
            f"{PREFIX}_TLS_AUTHORITY) belong together; set all or none"
        )
    return wire.Network(wire.TlsFiles(certificate, key, authority))


def read_identity(options: Mapping[str, Any], role: str) -> Identity:
    """Return the identity of the process from validated options.

    :raises magnoliacove.errors.UserError: when the process would listen
        on an address other than loopback without TLS.
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
    """Return the network of the process from validated options."""
    return make_network(
        options["tls_certificate"],
        options["tls_key"],
        options["tls_authority"],
    )


def require_loopback(
    flag: str, address: wire.Address | None, secure: bool
) -> None:
    """Reject an address other than loopback when TLS is off.

    :raises magnoliacove.errors.UserError: with the flag in its message.
    """
    if address is None or secure or address.loopback:
        return
    variable = f"{PREFIX}_{flag.strip('-').replace('-', '_').upper()}"
    raise errors.UserError(
        f"{flag} ({variable}) is {address}, which other hosts can reach, but "
        "there is no TLS; set --tls-certificate, --tls-key and "
        "--tls-authority, or listen on 127.0.0.1"
    )


def bind(flag: str, address: wire.Address) -> socket.socket:
    """Return a listening socket.

    :raises magnoliacove.errors.UserError: with the flag in its message.
    """
    try:
        return sockets.bind_socket(address.host, address.port)
    except OSError as exc:
        variable = f"{PREFIX}_{flag.strip('-').replace('-', '_').upper()}"
        raise errors.UserError(
            f"{flag} ({variable}) {address} cannot be used: {exc.strerror}; "
            "choose another address or port"
        ) from exc
