"""A light agent that answers for whole engines, at a steady pace.

It gives every stream one token each ``gap`` seconds, in groups that stand
for engines: all tokens of one group go out together.
"""

from dataclasses import dataclass
import time

import trio

from magnoliacove import errors
from magnoliacove import timeline
from magnoliacove import wire
from magnoliacove.wire import messages


@dataclass
class _Held:
    connection: wire.Connection
    attempt: int
    step: int | None = None


class FakeAgent:
    """Serves stages of one chain of one stage.

    :param gap: seconds between the tokens of a stream.
    :param groups: how many engines it stands for.
    """

    def __init__(self, name: str, gap: float, groups: int = 8) -> None:
        self.name = name
        self.tokens = 0
        self._gap = gap
        self._groups: list[dict[bytes, _Held]] = [{} for _ in range(groups)]
        self._recorder = timeline.Recorder(name)
        self._opened = 0

    def make_hello(self) -> messages.Hello:
        """Return what this agent says first."""
        return messages.Hello(1, self.name, 1, "agent", "gent-a", 0, "")

    async def run(
        self,
        network: wire.Network,
        *,
        task_status: trio.TaskStatus[wire.Address],
    ) -> None:
        """Serve until cancelled."""
        async with trio.open_nursery() as nursery:
            address = await nursery.start(
                network.listen, wire.Address("127.0.0.1", 0), self._serve
            )
            for number, group in enumerate(self._groups):
                delay = self._gap * number / len(self._groups)
                nursery.start_soon(self._step_group, group, delay)
            task_status.started(address)

    async def _serve(self, stream: trio.abc.Stream) -> None:
        await wire.serve_connection(
            stream,
            self._recorder,
            self.make_hello,
            self._handle,
            lambda number: messages.Pong(number),
        )

    async def _handle(
        self, connection: wire.Connection, message: messages.Message
    ) -> None:
        match message:
            case messages.OpenStage():
                self._opened += 1
                group = self._groups[self._opened % len(self._groups)]
                group[message.stream] = _Held(connection, message.attempt)
                connection.post(
                    messages.StageOpened(message.stream, message.attempt, 0)
                )
            case messages.Steps():
                for item in message.items:
                    for group in self._groups:
                        if item.stream in group:
                            group[item.stream].step = item.step
            case messages.CloseStage():
                for group in self._groups:
                    group.pop(message.stream, None)
            case _:
                return

    async def _step_group(
        self, group: dict[bytes, _Held], delay: float
    ) -> None:
        at = trio.current_time() + delay
        while True:
            at += self._gap
            await trio.sleep_until(at)
            by_entry: dict[wire.Connection, list[messages.Token]] = {}
            # The text is the time of sending, for the caller to compare.
            text = f"{time.monotonic():.6f} ".encode()
            for stream, held in group.items():
                if held.step is None:
                    continue
                token = messages.Token(stream, held.attempt, held.step, text)
                by_entry.setdefault(held.connection, []).append(token)
                held.step = None
            for connection, tokens in by_entry.items():
                self.tokens += len(tokens)
                try:
                    connection.post(messages.Tokens(tuple(tokens)))
                except errors.PeerError:
                    continue
