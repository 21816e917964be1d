"""Headers of requests to targets and of their answers."""

from magnoliacove.directory.listed import ListedTarget
from magnoliacove.platform import headers
from magnoliacove.routing.paths import Path
from magnoliacove.routing.paths import PathStage
from magnoliacove.wire import Address

_TARGET = ListedTarget("i-1", "llm", Address("10.0.0.1", 80), "gent-a")
_CALLER = [
    (b"host", b"lots.example"),
    (b"x-request-id", b"abc"),
    (b"authorization", b"Token k1"),
    (b"x-tenant", b"forged"),
    (b"x-hops", b"10.9.9.9:1=0-80"),
    (b"x-deadline-ms", b"20000"),
    (b"x-token-usage", b"760,80"),
    (b"connection", b"keep-alive, x-mine"),
    (b"x-mine", b"1"),
    (b"x-prefix-hash", b"a:1,b:2"),
]


def _write(**changes):
    values = {
        "target": _TARGET,
        "account": "lannoy",
        "timeout": 1.5,
        "priority": 3,
        **changes,
    }
    return dict(headers.write_request(_CALLER, **values))


def test_caller_headers_are_decoded():
    decoded = headers.read_caller(_CALLER)
    assert decoded.request == "abc"
    assert decoded.key == "k1"
    assert decoded.timeout == 20.0
    assert (decoded.prompt_tokens, decoded.max_answer_tokens) == (760, 80)
    assert headers.read_caller([(b"authorization", b"Basic k1")]).key == ""


def test_the_parts_of_a_prompt_are_decoded_without_the_last():
    """The last part is the request's own, and no two requests share it."""
    assert headers.read_caller(_CALLER).shared_parts == ("a",)
    for value, parts in {
        b"": (),
        b"a:3": (),
        b"A:3, b:2,a:3,c:9": ("a", "b"),
        b"a,b": ("a",),
        b",".join(b"%x:1" % n for n in range(99)): tuple(
            f"{n:x}" for n in range(31)
        ),
    }.items():
        sent = [(b"x-prefix-hash", value)]
        assert headers.read_caller(sent).shared_parts == parts


def test_a_target_receives_neither_the_key_nor_a_forged_header():
    """A caller that sends an account and a path must not impersonate
    another account or choose engines: the target receives the account that
    the key belongs to and the path that the gateway chose.
    """
    written = _write()
    assert b"authorization" not in written
    assert written[b"x-tenant"] == b"lannoy"
    assert b"x-hops" not in written
    assert written[b"x-target-instance"] == b"i-1"
    assert written[b"x-deadline-ms"] == b"1500"
    assert written[b"x-prefix-hash"] == b"a:1,b:2"


def test_hop_by_hop_headers_are_not_forwarded():
    written = _write()
    assert b"x-mine" not in written
    assert b"connection" not in written


def test_no_account_sends_no_account_header():
    assert b"x-tenant" not in _write(account="")


def test_a_path_is_encoded_in_order():
    stages = (
        PathStage("i-1", Address("10.0.0.1", 80), "a", 0, 20),
        PathStage("i-2", Address("10.0.0.2", 81), "a", 20, 80),
    )
    written = _write(path=Path(stages, 1.0, 0), last_event="12")
    assert written[b"x-hops"] == b"10.0.0.1:80=0-20,10.0.0.2:81=20-80"
    assert written[b"last-event-id"] == b"12"


def test_answer_headers_are_decoded():
    decoded = headers.read_answer(
        503,
        [
            (b"x-not-executed", b"1"),
            (b"x-server-load", b"3,1,8"),
            (b"at-server", b"10.0.0.2:80"),
        ],
    )
    assert decoded.not_run
    assert not decoded.stamped
    assert decoded.faulty == "10.0.0.2:80"
    assert (decoded.running, decoded.waiting, decoded.slots) == (3, 1, 8)
    assert headers.read_answer(421, []).not_run
    assert not headers.read_answer(503, []).not_run
    malformed = headers.read_answer(200, [(b"x-server-load", b"many")])
    assert malformed.running is None


def test_an_answer_keeps_all_but_hop_by_hop_headers():
    copied = headers.copy_answer(
        [
            (b"x-response-stamp", b"s"),
            (b"transfer-encoding", b"chunked"),
            (b"connection", b"close"),
            (b"keep-alive", b"timeout=5"),
        ]
    )
    assert copied == [(b"x-response-stamp", b"s")]
