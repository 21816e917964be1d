"""One run of a stream on one path: the request is sent and its events read.

A run is opened first, until its engine has accepted it, and only then forwards
its events to the caller.  Until then another run may still serve the caller.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
from http import HTTPStatus

import trio

from magnoliacove import errors
from magnoliacove.directory.listed import ListedTarget
from magnoliacove.gateway.channels import Answer
from magnoliacove.gateway.channels import Channel
from magnoliacove.gateway.channels import TargetError
from magnoliacove.gateway.delivery import BrokenRunError
from magnoliacove.gateway.delivery import EventDelivery
from magnoliacove.gateway.exchanges import is_genuine
from magnoliacove.gateway.exchanges import read_answer
from magnoliacove.gateway.exchanges import read_body
from magnoliacove.gateway.exchanges import send_request
from magnoliacove.gateway.path_reservations import PathReservation
from magnoliacove.gateway.path_reservations import ReservedPath
from magnoliacove.gateway.requests import RoutedRequest
from magnoliacove.gateway.state import GatewayState
from magnoliacove.gateway.target_answers import TargetAnswer
from magnoliacove.limits.saturation import is_nearly_full
from magnoliacove.platform import headers

__all__ = ["PathRun"]


class PathRun:
    """Sends one stream along one path and forwards the events.

    :param check_refusal: starts a check of why an engine refused, given the
        engine, the status and the path of its health check.
    :param reserved: the path and what is reserved on it.
    :param fresh: send the request on a new connection.
    :param sent: whether the request, or a part of it, may have been sent.
    :param reused: whether it was sent on a connection that was idle before.
    """

    def __init__(
        self,
        state: GatewayState,
        check_refusal: Callable[[ListedTarget, int, str], None],
        routed: RoutedRequest,
        path_reservation: PathReservation,
        delivery: EventDelivery,
        reserved: ReservedPath,
        *,
        fresh: bool,
    ) -> None:
        self.sent = False
        self.reused = False
        self.first = reserved.first
        self.path = reserved.path
        self._reserved = reserved
        self._fresh = fresh
        self._state = state
        self._check_refusal = check_refusal
        self._routed = routed
        self._request = routed.caller_headers.request
        self._path_reservation = path_reservation
        self._delivery = delivery
        self._channel: Channel | None = None
        self._answer: Answer | None = None
        # Closes the connection, once the run is open.
        self._opened = contextlib.AsyncExitStack()

    async def open(self) -> None:
        """Send the request until the first engine has accepted it.

        :raises BrokenRunError: when it does not.
        """
        async with contextlib.AsyncExitStack() as opening:
            with self._note_lost_engine():
                self._channel = await opening.enter_async_context(
                    self._state.pool.use(self.first, fresh=self._fresh)
                )
                self._answer = await self._send(self._channel)
            self._opened = opening.pop_all()

    async def forward(self) -> None:
        """Forward the events of the run, which is open, to its end.

        The connection is closed unless the exchange completes.

        :raises BrokenRunError: when the stream does not complete.
        """
        if self._channel is None or self._answer is None:
            raise BrokenRunError("the run was not opened", False)
        async with self._opened:
            with self._note_lost_engine():
                await self._forward_events(self._channel, self._answer)

    async def close(self) -> None:
        """Close a run whose events are not forwarded."""
        with trio.CancelScope(shield=True):
            await self._opened.aclose()

    @contextlib.contextmanager
    def _note_lost_engine(self) -> Iterator[None]:
        """Note when the connection to the first engine breaks.

        :raises BrokenRunError: then.
        """
        try:
            yield
        except TargetError as exc:
            ran = self.sent or exc.outcome is not errors.Outcome.NOT_RUN
            if not ran:
                self._state.health.suspect(self.first.name, str(exc))
            self._avoid_engine(self.first)
            raise BrokenRunError(str(exc), ran) from exc

    async def _send(self, channel: Channel) -> Answer:
        """Send the request and return the head of the engine's answer."""
        self.reused = channel.used
        # Counted only once connected.  An unreachable engine would count
        # towards the engines that the request may run on, and the stream
        # would wait for it, with other engines free, until its caller
        # disconnects.
        self._path_reservation.count_first_engine(self.first.name)
        self.sent = True
        last_event = self._delivery.last_event
        await send_request(
            channel, self.first, self._routed, last_event, self.path
        )
        answer, decoded = await read_answer(channel, self._request)
        if answer.status != HTTPStatus.OK:
            await self._handle_failure(channel, answer, decoded)
        if not is_genuine(answer, decoded):
            # It would send the same again on the next run.
            self._avoid_engine(self.first)
            raise BrokenRunError("the answer is not one of the model's", True)
        self._state.candidates.note_accepted(self.path.targets)
        return answer

    async def _forward_events(self, channel: Channel, answer: Answer) -> None:
        try:
            self._delivery.begin_run(answer)
            while (part := await channel.read_body()) is not None:
                await self._delivery.deliver(part)
            await self._delivery.finish()
        except BrokenRunError:
            # It would send the same again on the next run.
            self._avoid_engine(self.first)
            raise

    async def _handle_failure(
        self, channel: Channel, answer: Answer, decoded: headers.AnswerHeaders
    ) -> None:
        """Handle an answer that is not a stream.

        :raises BrokenRunError: always.
        """
        with self._state.answer_memory.open() as buffer:
            body = (await read_body(channel, decoded, buffer)).join()
        if decoded.not_run:
            self._handle_refusal(answer.status, decoded.faulty)
            raise BrokenRunError(
                f"refused with {answer.status} by "
                f"{decoded.faulty or 'the first engine'}",
                False,
            )
        self._avoid_engine(self.first)
        failure = TargetAnswer(answer, decoded, body)
        genuine = decoded.stamped and failure.reports_failure
        raise BrokenRunError(
            f"the engine answered {answer.status}",
            True,
            failure if genuine else None,
        )

    def _avoid_engine(self, target: ListedTarget) -> None:
        """Avoid an engine for this stream, and for a while for new ones."""
        self._path_reservation.avoid(target.name)
        self._state.candidates.pause_engine(target.name)

    def _handle_refusal(self, status: int, faulty: str) -> None:
        """Avoid and check the engine that a refusal names.

        :param faulty: the engine's address; "" for the first engine of the
            path.
        """
        state, service = self._state, self._routed.service
        refusing = state.targets.list_at(faulty)
        if not faulty:
            refusing = [self.first]
        for target in refusing:
            full = (
                status == HTTPStatus.SERVICE_UNAVAILABLE
                and self._lacks_room(target)
            )
            if full:
                self._note_no_room(target)
            else:
                self._avoid_engine(target)
            state.recorder.record(
                "engine-refused",
                request=self._request,
                target=target.name,
                status=status,
                requests=state.loads.read(target.name).requests,
                full=full,
                memory=self._describe_memory(target),
            )
            self._check_refusal(target, status, service.health_path)

    def _lacks_room(self, target: ListedTarget) -> bool:
        """Return whether an engine refused as it and its service are full.

        Otherwise it may be leaving, or wait for another engine.
        """
        state, service = self._state, self._routed.service.name
        load = state.loads.read(target.name).token_layers
        used = max(load, state.engine_statuses.read(target).used)
        capacity = self._path_reservation.read_capacity(target)
        if not is_nearly_full(used, capacity):
            return False
        state.saturation.note_refusal(service)
        return state.saturation.is_full(service)

    def _note_no_room(self, target: ListedTarget) -> None:
        """Record that an engine of a full service had no room.

        Its free memory is less than the request needs there, whatever the
        loads say.  The stream may come back to it: in a full service there is
        hardly another path.
        """
        state = self._state
        state.candidates.pause_full_engine(target.name)
        capacity = self._path_reservation.read_capacity(target)
        needed = self._reserved.read_reserved(target.name)
        state.engine_statuses.note_refusal(target.name, capacity - needed)

    def _describe_memory(self, target: ListedTarget) -> dict[str, int]:
        """Return what the gateway knew of an engine's memory."""
        reservation, state = self._path_reservation, self._state
        return {
            "capacity": round(reservation.read_capacity(target)),
            "reserved": round(state.loads.read(target.name).token_layers),
            "used": round(state.engine_statuses.read(target).used),
            "needed": round(self._reserved.read_reserved(target.name)),
        }
