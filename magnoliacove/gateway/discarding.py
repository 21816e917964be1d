"""Reading on at connections that close, for all callers together.

A connection that is closed with bytes that were not read is reset, and the
reset may discard an answer that the caller has not read yet.
"""

import trio

__all__ = ["Discarder"]

# Seconds for which a connection is read before it is closed.
_TIMEOUT = 1.0
# Bytes of one read, and seconds between two reads of all connections: many
# refused callers that send on must not cost the processor time of the others.
_READ_SIZE = 65536
_INTERVAL = 0.002


class Discarder:
    """Discards what callers still send to connections that close."""

    def __init__(self) -> None:
        self._open = 0

    async def discard(
        self, stream: trio.SocketStream, *, until_data: bool = False
    ) -> None:
        """Close our end of a connection and read on for a while.

        :param until_data: whether to stop at the first bytes.
        """
        self._open += 1
        try:
            with trio.move_on_after(_TIMEOUT):
                await stream.send_eof()
                while await stream.receive_some(_READ_SIZE):
                    if until_data:
                        return
                    await trio.sleep(_INTERVAL * self._open)
        finally:
            self._open -= 1
