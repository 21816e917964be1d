"""A lightweight agent that simulates several engines at a fixed rate.

Every stream receives one token per ``gap`` seconds.  Streams are assigned to
groups, one per simulated engine; the tokens of a group are sent together.
"""

from dataclasses import dataclass
import time

import trio

from magnoliacove import errors
from magnoliacove import timeline
from magnoliacove import wire
from magnoliacove.wire import messages


@dataclass
class _Stage:
    """An open stage and the step that waits for its token, if any."""

    connection: wire.Connection
    attempt: int
    step: int | None = None


class FakeAgent:
    """Serves streams whose chain is a single stage.

    :param gap: seconds between the tokens of a stream.
    :param groups: number of simulated engines.
    """

    def __init__(self, name: str, gap: float, groups: int = 8) -> None:
        self.name = name
        self.tokens = 0
        self._gap = gap
        self._groups: list[dict[bytes, _Stage]] = [{} for _ in range(groups)]
        self._recorder = timeline.Recorder(name)
        self._opened_count = 0

    def make_hello(self) -> messages.Hello:
        """Return the first message of each connection."""
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
                self._opened_count += 1
                group = self._groups[self._opened_count % len(self._groups)]
                group[message.stream] = _Stage(connection, message.attempt)
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
        self, group: dict[bytes, _Stage], delay: float
    ) -> None:
        send_at = trio.current_time() + delay
        while True:
            send_at += self._gap
            await trio.sleep_until(send_at)
            by_entry: dict[wire.Connection, list[messages.Token]] = {}
            # The time of sending, from which callers compute delays.
            text = f"{time.monotonic():.6f} ".encode()
            for stream, stage in group.items():
                if stage.step is None:
                    continue
                token = messages.Token(stream, stage.attempt, stage.step, text)
                by_entry.setdefault(stage.connection, []).append(token)
                stage.step = None
            for connection, tokens in by_entry.items():
                self.tokens += len(tokens)
                try:
                    connection.post(messages.Tokens(tuple(tokens)))
                except errors.PeerError:
                    continue
