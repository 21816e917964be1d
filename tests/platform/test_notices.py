"""What the headers of answers report about their targets."""

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
        (200, [(b"server-leaving", b"0")], TargetNotice(staying=True)),
        (200, [(b"server-leaving", b"no")], TargetNotice()),
        (503, [(b"retry-after", b"2.5")], TargetNotice(backoff=2.5)),
        # With another status it does not ask for a back-off.
        (429, [(b"retry-after", b"2.5")], TargetNotice()),
    ],
)
def test_each_header_is_decoded_from_any_answer(status, headers, expected):
    assert read_notice(status, headers) == expected


@pytest.mark.parametrize("text", [b"soon", b"nan", b"inf", b"-1", b""])
def test_an_invalid_number_is_reported_and_ignored(text):
    notice = read_notice(
        503, [(b"server-limit", text), (b"retry-after", text)]
    )
    assert notice.rate_limit is None
    assert notice.backoff == 0.0
    assert "server-limit" in notice.unreadable
    assert "retry-after" in notice.unreadable
