"""Forwarding of callers' requests to targets, and the heads of answers."""

import trio

from magnoliacove.bodies import Body
from magnoliacove.directory.listed import ListedTarget
from magnoliacove.gateway.channels import Answer
from magnoliacove.gateway.channels import Channel
from magnoliacove.gateway.channels import TargetError
from magnoliacove.gateway.requests import RoutedRequest
from magnoliacove.limits.answer_memory import BodyBuffer
from magnoliacove.platform import headers
from magnoliacove.routing.paths import Path

__all__ = ["is_genuine", "read_answer", "read_body", "send_request"]


async def send_request(
    channel: Channel,
    target: ListedTarget,
    routed: RoutedRequest,
    last_event: str,
    path: Path | None = None,
) -> None:
    """Send a request with its remaining time.

    :param last_event: the id of the last event that the caller has, or "".
    :param path: the engines that the request passes through.
    :raises magnoliacove.gateway.channels.TargetError: when the connection
        breaks.
    """
    request = routed.request
    await channel.send(
        request.method,
        request.target,
        headers.write_request(
            request.headers,
            target=target,
            account=routed.account,
            timeout=routed.deadline - trio.current_time(),
            priority=routed.priority,
            last_event=last_event,
            path=path,
            body_length=len(request.body),
        ),
        request.body,
    )


async def read_answer(
    channel: Channel, request: str
) -> tuple[Answer, headers.AnswerHeaders]:
    """Return the head of the answer to a request, and its decoded headers.

    :param request: the id of the request.
    :raises magnoliacove.gateway.channels.TargetError: when there is no answer.
    """
    answer = await channel.read_head(
        request, lambda a: headers.read_request_id(a.headers)
    )
    return answer, headers.read_answer(answer.status, answer.headers)


async def read_body(
    channel: Channel, decoded: headers.AnswerHeaders, buffer: BodyBuffer
) -> Body:
    """Return the whole body of an answer.

    :returns: an empty one for a refusal that broke off: its head is enough, as
        its body is not forwarded.
    :raises magnoliacove.gateway.channels.TargetError: when another answer
        breaks off or is too long.
    """
    try:
        return await channel.read_whole_body(buffer)
    except TargetError:
        buffer.release()
        if not decoded.not_run:
            raise
        return buffer.body


def is_genuine(answer: Answer, decoded: headers.AnswerHeaders) -> bool:
    """Return whether a target sent an answer, with its body unchanged."""
    encoded = any(name == b"content-encoding" for name, _ in answer.headers)
    return decoded.stamped and not encoded
