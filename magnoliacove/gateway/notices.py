"""Hearing what targets say of themselves, in whatever they answer."""

from magnoliacove.directory.health import Health
from magnoliacove.gateway.channels import Answer
from magnoliacove.gateway.channels import Hear
from magnoliacove.limits.backpressure import BackpressureBook
from magnoliacove.platform.engines import ORDER_PATH
from magnoliacove.platform.engines import REPORT_PATH
from magnoliacove.platform.notices import read_notice

__all__ = ["make_listener"]


def make_listener(book: BackpressureBook, health: Health) -> Hear:
    """Return what is told of each answer: to requests, reports, orders.

    :param health: what the other gateways hear too.
    """

    def hear(target: str, answer: Answer, path: str) -> None:
        notice = read_notice(answer.status, answer.headers)
        of_request = path not in (REPORT_PATH, ORDER_PATH)
        book.take(target, notice, path, of_request=of_request)
        if notice.leaving:
            health.suspect(target, "it says that it leaves", leaving=True)

    return hear
