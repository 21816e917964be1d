"""Heads of answers that end in their middle, as of targets that stop there."""

__all__ = ["CUT_HEADS", "LINE_ENDS"]

_STAMP = b"x-response-stamp: s\r\n"
_LAST = b"x-last: value\r\n"

_LINE_END = "before the last, empty line"

# Heads of answers that are whole, without their last, empty line.
_HEADS = {
    "a length": b"HTTP/1.1 200 OK\r\ncontent-length: 120\r\n" + _STAMP + _LAST,
    "no body": b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n" + _STAMP + _LAST,
    "chunks": b"HTTP/1.1 200 OK\r\n"
    + _STAMP
    + b"transfer-encoding: chunked\r\n"
    + _LAST,
    "no length": b"HTTP/1.1 200 OK\r\n" + _STAMP + _LAST,
    "HTTP/1.0": b"HTTP/1.0 200 OK\r\n" + _STAMP + _LAST,
    "204": b"HTTP/1.1 204 None\r\n" + _STAMP + _LAST,
    "304": b"HTTP/1.1 304 Same\r\n" + _STAMP + _LAST,
    "bare line feeds": b"HTTP/1.1 200 OK\nx-response-stamp: s\nx-last: v\n",
    "a folded line": b"HTTP/1.1 200 OK\r\n" + _STAMP + b"x-last: v\r\n w\r\n",
    "after an interim answer": b"HTTP/1.1 100 Continue\r\n\r\n"
    b"HTTP/1.1 200 OK\r\ncontent-length: 120\r\n" + _STAMP + _LAST,
    "a refusal": b"HTTP/1.1 503 Full\r\ncontent-length: 0\r\n"
    + _STAMP
    + b"x-not-executed: 1\r\n",
    "an event stream": b"HTTP/1.1 200 OK\r\n"
    b"content-type: text/event-stream\r\n" + _STAMP + _LAST,
}


def _list_cuts(head: bytes) -> dict[str, bytes]:
    """Return the parts of a head with which an answer may end."""
    begin = head.rindex(b"HTTP/")
    first_line = head.index(b"\n", begin) + 1
    last_line = head.rindex(b"\n", 0, -1) + 1
    cuts = {
        "in the version": begin + 6,
        "after the version": begin + 9,
        "after the status": begin + 12,
        "before the first line's end": first_line - 1,
        "after the first line": first_line,
        "in the first name": first_line + 4,
        "after the first name": head.index(b":", first_line) + 1,
        "in the first value": head.index(b":", first_line) + 3,
        "before the last line": last_line,
        "in the last line": last_line + 5,
        "before the last line's end": len(head) - 1,
        _LINE_END: len(head),
    }
    if head.endswith(b"\r\n"):
        cuts["before its last byte"] = len(head) + 1
    whole = head + b"\r\n"
    return {name: whole[:cut] for name, cut in cuts.items()}


def _name_parts() -> dict[str, bytes]:
    """Return all parts, each once, by the first head that begins so."""
    names: dict[bytes, str] = {}
    for head, data in _HEADS.items():
        for cut, part in _list_cuts(data).items():
            names.setdefault(part, f"{head}, {cut}")
    return {name: part for part, name in names.items()}


# Parts of heads, by what was to come and where they end.
CUT_HEADS = _name_parts()
# Those to which only the last, empty line is missing.
LINE_ENDS = [name for name in CUT_HEADS if name.endswith(_LINE_END)]
