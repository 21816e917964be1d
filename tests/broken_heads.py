"""Invalid heads of answers, as faulty targets send them."""

__all__ = ["HEADS"]

_STATUSES = {
    "000": b"HTTP/1.1 000 OK",
    "099": b"HTTP/1.1 099 OK",
    "two digits": b"HTTP/1.1 20 OK",
    "four digits": b"HTTP/1.1 2000 OK",
    "a sign": b"HTTP/1.1 +200 OK",
    "letters": b"HTTP/1.1 abc OK",
    "no status": b"HTTP/1.1 OK",
    "101": b"HTTP/1.1 101 OK",
    "600": b"HTTP/1.1 600 OK",
    "999": b"HTTP/1.1 999 OK",
    "another version": b"HTTP/9.9 200 OK",
    "another protocol": b"ICY 200 OK",
    "NUL in the reason": b"HTTP/1.1 200 O\0K",
}
_FIELDS = {
    "a blank in a name": b"x y: z",
    "a blank before the colon": b"x : z",
    "a tab in a name": b"x\ty: z",
    "a tab before the colon": b"x\t: z",
    "a blank in the length's name": b"content-length : 2",
    "a blank in the encoding's name": b"transfer-encoding : chunked",
    "a control byte in a name": b"x\x01y: z",
    "NUL in a name": b"x\0y: z",
    "DEL in a name": b"x\x7fy: z",
    "CR in a name": b"x\ry: z",
    "a byte over 127 in a name": b"x\xe9y: z",
    "an empty name": b": z",
    "no colon": b"xyz",
    "a control byte in a value": b"x: y\x01z",
    "NUL in a value": b"x: y\0z",
    "DEL in a value": b"x: y\x7fz",
    "two lengths": b"content-length: 3",
    "an unknown encoding": b"transfer-encoding: zip",
}
_REST = b"\r\nx-response-stamp: s\r\ncontent-length: 2\r\n\r\nok"

# Complete answers, by what is invalid in their heads.
HEADS = {name: line + _REST for name, line in _STATUSES.items()}
HEADS |= {
    name: b"HTTP/1.1 200 OK\r\n" + line + _REST
    for name, line in _FIELDS.items()
}
HEADS["a first line that is folded"] = b"HTTP/1.1 200 OK\r\n x: y" + _REST
