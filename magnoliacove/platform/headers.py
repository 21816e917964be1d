"""Names and formats of the HTTP headers of callers and engines."""

from collections.abc import Iterable
from collections.abc import Sequence
from dataclasses import dataclass
from http import HTTPStatus

from magnoliacove.directory.listed import ListedTarget
from magnoliacove.routing.paths import Path

__all__ = [
    "AnswerHeaders",
    "CallerHeaders",
    "copy_answer",
    "read_answer",
    "read_request_id",
    "read_caller",
    "write_path",
    "write_refusal",
    "write_request",
]

Headers = Sequence[tuple[bytes, bytes]]

_REQUEST_ID = b"x-request-id"
_DEADLINE = b"x-deadline-ms"
_LAST_EVENT = b"last-event-id"
_TENANT = b"x-tenant"
_INSTANCE = b"x-target-instance"
_PRIORITY = b"x-request-priority"
_EXPECTED_VERSION = b"x-expect-version"
_PATH = b"x-hops"
_TOKENS = b"x-token-usage"
_PARTS = b"x-prefix-hash"
_LENGTH_HINT = b"x-length-hint"
_AUTHORIZATION = b"authorization"
_STAMP = b"x-response-stamp"
_NOT_RUN = b"x-not-executed"
_LOAD = b"x-server-load"
_FAULTY = b"at-server"
_RETRY_AFTER = b"retry-after"
_KEY_SCHEME = b"token"
# Maximum number of a prompt's parts that are read; the others are only
# forwarded.
_MAX_PARTS = 32
# Engines accept priorities from 0, the most urgent, to this one.
_LOWEST_PRIORITY = 9

# The largest number that is read from a header, and its number of digits.
_MAX_COUNT_DIGITS = 9
_MAX_COUNT = 10**_MAX_COUNT_DIGITS - 1

# Headers that apply to a single connection and are not forwarded.
_HOP_BY_HOP = frozenset(
    [
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    ]
)
# Headers that the gateway sets itself; a caller's values are discarded.
_SET_BY_GATEWAY = frozenset(
    [
        _DEADLINE,
        _TENANT,
        _INSTANCE,
        _PRIORITY,
        _EXPECTED_VERSION,
        _PATH,
        _LAST_EVENT,
        _AUTHORIZATION,
        b"content-length",
    ]
)


@dataclass(frozen=True)
class CallerHeaders:
    """The decoded headers of a caller's request.

    :param request: the id of this attempt of the caller.
    :param key: the API key, or "".
    :param timeout: seconds that the caller waits, or None.
    :param last_event: the id of the last event that the caller received,
        or "".
    :param prompt_tokens: length of the prompt in tokens, 0 if unknown.
    :param max_answer_tokens: maximum length of the answer in tokens, 0 if
        unknown.
    :param expected_tokens: the caller's estimate of the answer's length in
        tokens, 0 if unknown.
    :param shared_parts: ids of the parts of the prompt that other requests
        may share, in order.  The last part is the request's own.
    """

    request: str
    key: str
    timeout: float | None
    last_event: str
    prompt_tokens: int
    max_answer_tokens: int
    expected_tokens: int
    shared_parts: tuple[str, ...] = ()


@dataclass(frozen=True)
class AnswerHeaders:
    """The decoded headers of a target's answer.

    :param request: the id of the request that is answered, or "".
    :param stamped: whether the answer carries the stamp that proves that a
        target sent it.
    :param not_run: whether the target reports that the request did not run.
    :param faulty: the address of the engine that failed, or "".
    :param running: requests running at the target, or None if not reported.
    :param waiting: requests queued at the target.
    :param slots: maximum number of requests running at the target.
    """

    request: str
    stamped: bool
    not_run: bool
    faulty: str
    running: int | None = None
    waiting: int = 0
    slots: int = 0


def read_caller(headers: Headers) -> CallerHeaders:
    """Decode a caller's headers."""
    values = dict(headers)
    scheme, _, key = values.get(_AUTHORIZATION, b"").partition(b" ")
    prompt, _, max_answer = values.get(_TOKENS, b"").partition(b",")
    timeout = _read_count(values.get(_DEADLINE, b""))
    return CallerHeaders(
        request=values.get(_REQUEST_ID, b"").decode("latin-1"),
        key=key.strip().decode("latin-1")
        if scheme.lower() == _KEY_SCHEME
        else "",
        timeout=timeout / 1000 if timeout is not None else None,
        last_event=values.get(_LAST_EVENT, b"").decode("latin-1"),
        prompt_tokens=_read_count(prompt) or 0,
        max_answer_tokens=_read_count(max_answer) or 0,
        expected_tokens=_read_count(values.get(_LENGTH_HINT, b"")) or 0,
        shared_parts=_read_shared_parts(values.get(_PARTS, b"")),
    )


def read_request_id(headers: Headers) -> str:
    """Return the id of the request that an answer belongs to, or ""."""
    return dict(headers).get(_REQUEST_ID, b"").decode("latin-1")


def read_answer(status: int, headers: Headers) -> AnswerHeaders:
    """Decode a target's headers."""
    values = dict(headers)
    load = [_read_count(p) for p in values.get(_LOAD, b"").split(b",")]
    valid = len(load) == 3 and None not in load
    return AnswerHeaders(
        request=read_request_id(headers),
        stamped=_STAMP in values,
        not_run=_NOT_RUN in values or status == HTTPStatus.MISDIRECTED_REQUEST,
        faulty=values.get(_FAULTY, b"").decode("latin-1"),
        running=load[0] if valid else None,
        waiting=load[1] or 0 if valid else 0,
        slots=load[2] or 0 if valid else 0,
    )


def write_request(
    headers: Headers,
    *,
    target: ListedTarget,
    account: str,
    timeout: float,
    priority: int,
    last_event: str = "",
    path: Path | None = None,
    body_length: int = 0,
) -> list[tuple[bytes, bytes]]:
    """Return the headers of a request to a target.

    :param headers: the caller's headers.
    :param timeout: seconds that remain for the request.
    """
    dropped = _HOP_BY_HOP | _SET_BY_GATEWAY | _list_named(headers)
    kept = [(n, v) for n, v in headers if n not in dropped]
    kept += [
        (_DEADLINE, b"%d" % max(1, int(timeout * 1000))),
        (_INSTANCE, target.entry.encode()),
        (_PRIORITY, b"%d" % min(max(0, priority), _LOWEST_PRIORITY)),
    ]
    if account:
        kept.append((_TENANT, account.encode()))
    if last_event:
        kept.append((_LAST_EVENT, last_event.encode()))
    if path is not None:
        kept.append((_PATH, write_path(path).encode()))
    if body_length or any(n == b"content-length" for n, _ in headers):
        kept.append((b"content-length", b"%d" % body_length))
    return kept


def copy_answer(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Return a target's headers without the hop-by-hop ones."""
    dropped = _HOP_BY_HOP | _list_named(headers)
    return [(n, v) for n, v in headers if n not in dropped]


def write_refusal(
    request: str, retry_after: float | None
) -> list[tuple[bytes, bytes]]:
    """Return the headers of an answer that the gateway itself gives."""
    headers = [(b"content-type", b"application/json")]
    if request:
        headers.append((_REQUEST_ID, request.encode("latin-1")))
    if retry_after is not None:
        headers.append((_RETRY_AFTER, b"%.2f" % retry_after))
    return headers


def write_path(path: Path) -> str:
    """Return a path in the platform's format."""
    return ",".join(f"{s.address}={s.first}-{s.end}" for s in path.stages)


def _list_named(headers: Headers) -> set[bytes]:
    """Return the hop-by-hop headers that ``Connection`` lists."""
    named: set[bytes] = set()
    for name, value in headers:
        if name == b"connection":
            named.update(_split(value.lower()))
    return named - {b"close", b"keep-alive"}


def _split(value: bytes) -> Iterable[bytes]:
    return (part.strip() for part in value.split(b","))


def _read_shared_parts(value: bytes) -> tuple[str, ...]:
    """Return the ids of all parts of a prompt but the last one."""
    entries = [entry for entry in _split(value) if entry][:_MAX_PARTS]
    ids = [entry.partition(b":")[0].lower() for entry in entries[:-1]]
    return tuple(part.decode("latin-1") for part in dict.fromkeys(ids))


def _read_count(value: bytes) -> int | None:
    """Return a number, at most the largest one, or None if it is none.

    Sums of these numbers are reported to peers, where each has 64 bits, and
    Python refuses to convert thousands of digits.
    """
    text = value.strip()
    if not text.isdigit():
        return None
    if len(text.lstrip(b"0")) > _MAX_COUNT_DIGITS:
        return _MAX_COUNT
    return int(text)
