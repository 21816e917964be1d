"""Checks of the configuration and their error messages."""

import pytest
from returns.result import Failure

from magnoliacove import configuration as c
from magnoliacove import errors

_BASE = (
    c.Put(c.DataCentre("gent-a", "be-vla")),
    c.Put(c.Service("llm", "model", 16)),
    c.Put(c.Service("desk", "plain")),
    c.Put(c.Target("t1", "llm", "gent-a", "", 0, 8)),
)


def _propose(document, *operations):
    return document.propose("x", "ann", 0, operations)


def _make_base():
    empty = c.Document()
    return empty.apply(_propose(empty, *_BASE).unwrap())


_MISTAKES = [
    (lambda: c.Target("t", "no", "gent-a"), "create it first"),
    (lambda: c.Target("t", "llm", "no", "", 0, 8), "create it first"),
    (lambda: c.Target("t", "llm", "gent-a", "", 0, 17), "16 layers"),
    (lambda: c.Target("t", "llm", "gent-a"), "do not lie within"),
    (lambda: c.Target("t", "desk", "gent-a", "", 0, 8), "leave --layers"),
    (lambda: c.Target("t", "llm", "gent-a", "", 9, 8), "write --layers"),
    (lambda: c.Target("T!", "llm", "gent-a"), "lower-case"),
    (lambda: c.Target("t", "llm", "gent-a", state="x"), "active or drain"),
    (lambda: c.Service("s", "model"), "needs --layers"),
    (lambda: c.Service("s", "other"), "model or plain"),
    (lambda: c.Service("s", "plain", deadline=0), "between 0 and 3600"),
    (lambda: c.Service("s", "plain", non_idempotent=("x",)), "POST /bids"),
    (lambda: c.ClientAccount("a", weight=0), "weight must"),
    (lambda: c.ClientAccount("a", ("key",)), "--api-key"),
    (lambda: c.ClientAccount("a", services=("no",)), "create it first"),
    (lambda: c.Pipeline("p", ()), "at least one"),
    (lambda: c.Pipeline("p", ("no",)), "create it first"),
    (lambda: c.make_object("car", {}), "use one of"),
    (lambda: c.make_object("target", {"name": "t", "x": 1}), "it has"),
    (lambda: c.make_object("target", {"name": "t"}), "incomplete"),
]


@pytest.mark.parametrize(("make", "remedy"), _MISTAKES)
def test_errors_name_the_remedy(make, remedy):
    with pytest.raises(errors.UserError, match=remedy):
        result = _propose(_make_base(), c.Put(make()))
        raise result.failure()


def test_a_referenced_object_cannot_be_deleted():
    result = _propose(_make_base(), c.Removal("service", "llm"))
    assert isinstance(result, Failure)
    assert "target t1" in str(result.failure())


def test_changes_of_another_history_are_rejected():
    """A store that was restored from an older snapshot assigns versions
    again; accepting such a change would mix two histories.
    """
    base = _make_base()
    put = c.Put(c.Pipeline("p", ("llm",)))
    other = c.Document().apply(_propose(c.Document(), _BASE[0]).unwrap())
    change = _propose(other, c.Put(c.DataCentre("b", "r"))).unwrap()
    with pytest.raises(errors.ProtocolError, match="another history"):
        base.apply(change)
    assert base.apply(_propose(base, put).unwrap()).version == 2


def test_non_idempotent_rules_of_a_service():
    service = c.Service(
        "desk", "plain", non_idempotent=("POST /bids", "* /once")
    )
    assert not service.is_idempotent("POST", "/bids/7")
    assert service.is_idempotent("GET", "/bids/7")
    assert not service.is_idempotent("GET", "/once")
