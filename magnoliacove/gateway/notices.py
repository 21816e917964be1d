"""Handling of the notices that targets attach to their answers."""

from dataclasses import replace
from http import HTTPStatus

from magnoliacove.directory.health import Health
from magnoliacove.gateway.channels import Answer
from magnoliacove.gateway.channels import AnswerListener
from magnoliacove.limits.backpressure import BackpressureBook
from magnoliacove.platform.notices import read_notice

__all__ = ["make_notice_handler"]

_MAYBE_LEAVING = "a target at its address says that it leaves"


def make_notice_handler(
    book: BackpressureBook, health: Health
) -> AnswerListener:
    """Return a handler for each answer to a request, report or order.

    :param health: suspicions, which are shared with the other gateways.
    """

    def handle(target: str, answer: Answer, path: str, request: str) -> None:
        notice = read_notice(answer.status, answer.headers)
        # Another target may have the address by now, and its answer does not
        # concern this one.
        own = answer.status != HTTPStatus.MISDIRECTED_REQUEST
        if not own:
            notice = replace(notice, staying=False)
        ends_limit = bool(request) and own
        book.take(target, notice, path, ends_limit=ends_limit)
        if notice.leaving and own:
            health.note_leaving(target)
        elif notice.leaving:
            health.suspect(target, _MAYBE_LEAVING, leaving=True)
        elif notice.staying:
            health.note_staying(target)

    return handle
