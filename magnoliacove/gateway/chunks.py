"""Decoding of chunked bodies.

A chunk costs h11 about 30 microseconds, however short it is, so that a legal
body in chunks of one byte kept a gateway busy for minutes.  httptools takes
0.2; it refuses chunk heads and trailers that RFC 9112 does not allow.
"""

import httptools

__all__ = ["ChunkDecoder", "ChunkError"]

# The end of a chunked body is always the end of one of these.
_END = b"\r\n\r\n"
# A head that tells the parser that a chunked body follows.
_HEAD = b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"


class ChunkError(Exception):
    """Bytes are not part of a chunked body, or its frame is too long."""


class ChunkDecoder:
    """Decodes one chunked body.

    :param max_frame: bytes of chunk heads or trailers between two bytes of
        the body at most.
    :param complete: whether the end was read.
    :param rest: the bytes that followed the end.
    """

    def __init__(self, max_frame: int) -> None:
        self.complete = False
        self.rest = b""
        self._max_frame = max_frame
        self._frame = 0
        self._kept = b""
        self._parts: list[bytes] = []
        self._parser = httptools.HttpRequestParser(self)
        self._parser.feed_data(_HEAD)

    def decode(self, data: bytes) -> bytes:
        """Return the bytes of the body in the next part of the stream.

        :raises ChunkError: when it is none.
        """
        data = self._kept + data
        begin = 0
        while not self.complete and (end := data.find(_END, begin)) >= 0:
            self._feed(data[begin : end + len(_END)])
            begin = end + len(_END)
        if self.complete:
            self.rest, self._kept = data[begin:], b""
        else:
            # An end that is still incomplete is searched again as a whole.
            end = len(data) - _count_begun(data, begin)
            self._kept = data[end:]
            self._feed(data[begin:end])
            if self.complete:
                raise ChunkError("the body ends without an empty line")
        body = b"".join(self._parts)
        self._parts.clear()
        return body

    def on_body(self, data: bytes) -> None:
        """Take bytes of the body from the parser."""
        self._parts.append(data)

    def on_message_complete(self) -> None:
        """Note the end of the body for the parser."""
        self.complete = True

    def _feed(self, data: bytes) -> None:
        count = len(self._parts)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            raise ChunkError(f"not a chunked body: {exc}") from exc
        self._frame += len(data)
        if len(self._parts) > count:
            self._frame = 0
        if self._frame > self._max_frame:
            raise ChunkError("a chunk head or the trailers are too long")


def _count_begun(data: bytes, begin: int) -> int:
    """Return how many bytes at the end of the data may begin an end."""
    for count in range(len(_END) - 1, 0, -1):
        if len(data) - begin >= count and data.endswith(_END[:count]):
            return count
    return 0
