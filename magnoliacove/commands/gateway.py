"""``magnoliacove-gateway``: callers' HTTP on the platform."""

import signal

__all__ = ["main"]


def main() -> None:
    """Run the program."""
    # Loading its modules takes up to a second on a small instance.  A reload
    # that is asked for meanwhile would end the process, since that is what
    # the signal does by default; its callers would be cut off for nothing.
    # What it asks for is done anyhow: the settings are read after this.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from magnoliacove.commands import gateway_command

    gateway_command.main()


if __name__ == "__main__":
    main()
