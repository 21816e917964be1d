"""Headers on the way to a target and back."""

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


def test_a_caller_is_read():
    marks = headers.read_caller(_CALLER)
    assert marks.request == "abc"
    assert marks.key == "k1"
    assert marks.timeout == 20.0
    assert (marks.prompt_tokens, marks.max_answer_tokens) == (760, 80)
    assert headers.read_caller([(b"authorization", b"Basic k1")]).key == ""


def test_a_target_never_sees_the_key_nor_a_forged_header():
    """The caller names an account and a path of its own; the target gets
    the account that holds the key, and the path that was chosen here.
    """
    written = _write()
    assert b"authorization" not in written
    assert written[b"x-tenant"] == b"lannoy"
    assert b"x-hops" not in written
    assert written[b"x-target-instance"] == b"i-1"
    assert written[b"x-deadline-ms"] == b"1500"
    assert written[b"x-prefix-hash"] == b"a:1,b:2"


def test_headers_of_one_connection_stay_there():
    written = _write()
    assert b"x-mine" not in written
    assert b"connection" not in written


def test_no_account_leaves_no_name():
    assert b"x-tenant" not in _write(account="")


def test_a_path_is_written_in_order():
    stages = (
        PathStage("i-1", Address("10.0.0.1", 80), "a", 0, 20),
        PathStage("i-2", Address("10.0.0.2", 81), "a", 20, 80),
    )
    written = _write(path=Path(stages, 1.0, 0), last_event="12")
    assert written[b"x-hops"] == b"10.0.0.1:80=0-20,10.0.0.2:81=20-80"
    assert written[b"last-event-id"] == b"12"


def test_an_answer_is_read():
    marks = headers.read_answer(
        503,
        [
            (b"x-not-executed", b"1"),
            (b"x-server-load", b"3,1,8"),
            (b"at-server", b"10.0.0.2:80"),
        ],
    )
    assert marks.not_run
    assert not marks.stamped
    assert marks.faulty == "10.0.0.2:80"
    assert (marks.running, marks.waiting, marks.slots) == (3, 1, 8)
    assert headers.read_answer(421, []).not_run
    assert not headers.read_answer(503, []).not_run
    odd = headers.read_answer(200, [(b"x-server-load", b"many")])
    assert odd.running is None


def test_an_answer_keeps_all_but_its_connection():
    copied = headers.copy_answer(
        [
            (b"x-response-stamp", b"s"),
            (b"transfer-encoding", b"chunked"),
            (b"connection", b"close"),
            (b"keep-alive", b"timeout=5"),
        ]
    )
    assert copied == [(b"x-response-stamp", b"s")]
