"""The messages of a stream to the agents that run its stages."""

from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass

import trio

from magnoliacove import errors
from magnoliacove.entry.pool import TargetPool
from magnoliacove.entry.replanning import ChainInterrupted
from magnoliacove.entry.replanning import StreamChain
from magnoliacove.wire import messages

__all__ = ["StageSender", "StreamRequest"]


@dataclass(frozen=True)
class StreamRequest:
    """A caller's request to a model.

    :param layers: the number of layers of the model.
    :param deadline: in seconds of trio's clock.
    """

    request_id: bytes
    service: str
    layers: int
    account: str
    prompt: bytes
    max_tokens: int
    priority: int
    deadline: float
    configuration_version: int


class StageSender:
    """Sends one stream's messages, and counts it in the targets' load.

    :param address_of: returns a target's address by its name, or "".
    """

    def __init__(
        self,
        request: StreamRequest,
        pool: TargetPool,
        address_of: Callable[[str], str],
    ) -> None:
        self._request = request
        self._pool = pool
        self._address_of = address_of
        self._counted: set[str] = set()

    def depends_on(self, name: str) -> bool:
        """Return whether the stream depends on an agent."""
        return name in self._counted

    def post(self, name: str, message: messages.Message) -> None:
        """Send a message to one agent.

        :raises ChainInterrupted: when it is not connected.
        """
        try:
            self._pool.post(name, message)
        except errors.PeerError as exc:
            raise ChainInterrupted(str(exc), frozenset([name])) from exc

    def open_all(self, chain: StreamChain, attempt: int) -> None:
        """Ask every agent of a chain to open or resume its stage.

        :raises ChainInterrupted: when one is not connected.
        """
        request, stages = self._request, chain.stages
        remaining = request.deadline - trio.current_time()
        for index, stage in enumerate(stages):
            following = stages[index + 1] if index + 1 < len(stages) else None
            name = stage.target
            self._count(name)
            message = messages.OpenStage(
                request.request_id,
                attempt,
                request.service,
                request.account,
                stage.first_layer,
                stage.end_layer,
                self._address_of(following.target) if following else "",
                following.target if following else "",
                request.priority,
                max(1, int(remaining * 1000)),
                request.configuration_version,
                name in chain.opened,
                chain.imports.get(name, ""),
            )
            self.post(name, message)

    def replay_all(
        self, chain: StreamChain, attempt: int, steps: Sequence[int]
    ) -> None:
        """Ask every agent to send its retained outputs from a step on.

        :param steps: for each agent, the first step to send again.
        :raises ChainInterrupted: when one is not connected.
        """
        for name, step in zip(chain.names, steps, strict=True):
            replay = messages.Replay(self._request.request_id, attempt, step)
            self.post(name, replay)

    def close_all(self, attempt: int, reason: str) -> None:
        """Notify every agent that the stream no longer needs its stage."""
        close = messages.CloseStage(self._request.request_id, attempt, reason)
        for name in self._counted:
            self._pool.estimates.target(name).own -= 1
            try:
                self._pool.post(name, close)
            except errors.PeerError:
                # The agent discards the stage without the message.
                continue

    def _count(self, name: str) -> None:
        if name not in self._counted:
            self._counted.add(name)
            self._pool.estimates.target(name).own += 1
