"""Hearing what targets say of themselves, in whatever they answer."""

from magnoliacove.directory.health import Health
from magnoliacove.gateway.channels import Answer
from magnoliacove.gateway.channels import AnswerListener
from magnoliacove.limits.backpressure import BackpressureBook
from magnoliacove.platform.notices import read_notice

__all__ = ["make_listener"]

# Another target may have the address by now, and says nothing of this one.
_NOT_THE_TARGET = 421


def make_listener(book: BackpressureBook, health: Health) -> AnswerListener:
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
