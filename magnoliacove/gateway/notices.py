"""Hearing what targets say of themselves, in whatever they answer."""

from magnoliacove.directory.health import Health
from magnoliacove.gateway.channels import Answer
from magnoliacove.gateway.channels import Hear
from magnoliacove.limits.backpressure import BackpressureBook
from magnoliacove.platform.notices import read_notice

__all__ = ["make_notice_handler"]

# Another target may have the address by now, and says nothing of this one.
_NOT_THE_TARGET = 421


def make_notice_handler(book: BackpressureBook, health: Health) -> Hear:
    """Return what is told of each answer: to requests, reports, orders.

    :param health: what the other gateways hear too.
    """

    def hear(target: str, answer: Answer, path: str, request: str) -> None:
        notice = read_notice(answer.status, answer.headers)
        ends_limit = bool(request) and answer.status != _NOT_THE_TARGET
        book.take(target, notice, path, ends_limit=ends_limit)
        if notice.leaving:
            health.suspect(target, "it says that it leaves", leaving=True)

    return hear
