"""``magnoliacove-gateway``: serves callers' HTTP on the platform."""

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
    # Loading the modules takes up to a second on a small instance.  A reload
    # signal that arrives meanwhile would end the process, which is the
    # signal's default action, and would cut off its callers needlessly.
    # Ignoring it loses nothing, because the settings are read later.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    listener = listen_early(sys.argv[1:], os.environ)
    # The store uses HTTP/1.1, but its client library also imports HTTP/2
    # support if that is installed.
    with load_without("h2"):
        from magnoliacove.commands import gateway_command

    gateway_command.main(listener)


def listen_early(
    arguments: Sequence[str], environment: Mapping[str, str]
) -> socket.socket | None:
    """Listen for callers before loading other modules.

    When all gateways are killed at once, a caller that finds no listener
    fails immediately and retries only once, usually on another gateway that
    is not running yet.  With an early listener, callers wait while the
    modules load.

    :returns: the listening socket, or None.  None is also returned for an
        unusable address; the later attempt to listen on it reports the
        error and its remedy.
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
