"""``magnoliacove-gateway``: callers' HTTP on the platform."""

from collections.abc import Mapping
from collections.abc import Sequence
import os
import signal
import socket
import sys

from magnoliacove.lazy import load_without
from magnoliacove.sockets import bind_socket

__all__ = ["listen_early", "main"]

_FLAG = "--callers"
_VARIABLE = "MAGNOLIACOVE_CALLERS"


def main() -> None:
    """Run the program."""
    # Loading its modules takes up to a second on a small instance.  A reload
    # that is asked for meanwhile would end the process, since that is what
    # the signal does by default; its callers would be cut off for nothing.
    # What it asks for is done anyhow: the settings are read after this.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    listener = listen_early(sys.argv[1:], os.environ)
    # The store speaks HTTP/1.1; its client would load HTTP/2 beside it.
    with load_without("h2"):
        from magnoliacove.commands import gateway_command

    gateway_command.main(listener)


def listen_early(
    arguments: Sequence[str], environment: Mapping[str, str]
) -> socket.socket | None:
    """Listen for callers before anything else is loaded.

    When all gateways are killed at once, callers that meet no listener fail
    at once and come back once only, mostly to another that is not up yet.
    Here they wait while the modules load.

    :returns: what listens, or None.  An address that cannot be used is told
        by whoever listens for the second time, with its remedy.
    """
    address = environment.get(_VARIABLE, "")
    if _FLAG in arguments[:-1]:
        address = arguments[arguments.index(_FLAG) + 1]
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        return None
    try:
        return bind_socket(host.strip("[]"), int(port))
    except (OSError, OverflowError):
        return None


if __name__ == "__main__":
    main()
