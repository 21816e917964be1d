"""What answers say of the targets that gave them."""

import pytest

from magnoliacove.limits.backpressure import TargetNotice
from magnoliacove.platform.notices import read_notice


@pytest.mark.parametrize(
    ("status", "headers", "expected"),
    [
        (200, [], TargetNotice()),
        (200, [(b"server-limit", b"1.2")], TargetNotice(rate_limit=1.2)),
        (503, [(b"server-limit", b" 0 ")], TargetNotice(rate_limit=0.0)),
        (421, [(b"server-leaving", b"1")], TargetNotice(leaving=True)),
        (200, [(b"server-leaving", b"0")], TargetNotice()),
        (503, [(b"retry-after", b"2.5")], TargetNotice(rest=2.5)),
        # Of another status it is no wish to be left alone.
        (429, [(b"retry-after", b"2.5")], TargetNotice()),
    ],
)
def test_each_word_is_read_from_any_answer(status, headers, expected):
    assert read_notice(status, headers) == expected


@pytest.mark.parametrize("text", [b"soon", b"nan", b"inf", b"-1", b""])
def test_a_number_without_meaning_is_told_and_not_heeded(text):
    found = read_notice(503, [(b"server-limit", text), (b"retry-after", text)])
    assert found.rate_limit is None
    assert found.rest == 0.0
    assert "server-limit" in found.unreadable
    assert "retry-after" in found.unreadable
