"""Snapshots of a peer's configuration and list of targets.

A gateway that starts or runs while it cannot reach the platform's store
requests both from a peer that has them.
"""

from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass

import orjson
import trio

from magnoliacove import defaults
from magnoliacove import errors
from magnoliacove import wire
from magnoliacove.decoding import DECODE_ERRORS
from magnoliacove.directory.listed import LayerRange
from magnoliacove.directory.listed import ListedTarget
from magnoliacove.timeline import Recorder
from magnoliacove.wire import messages

__all__ = ["PeerSnapshot", "ask_snapshot", "serve_snapshots"]

# Seconds to wait for a peer's snapshot.
_ASK_TIMEOUT = 1.0
_ROLE = "gateway"


@dataclass(frozen=True)
class PeerSnapshot:
    """A gateway's configuration and list of targets.

    :param configuration: the configuration in its stored form, or b"".
    :param revision: the store's revision of the list of targets.
    """

    configuration: bytes
    targets: tuple[ListedTarget, ...]
    revision: int

    def encode(self) -> bytes:
        """Return the snapshot as JSON."""
        return orjson.dumps(
            {
                "configuration": self.configuration.decode(),
                "targets": self.targets,
                "revision": self.revision,
            }
        )

    @classmethod
    def decode(cls, data: bytes) -> "PeerSnapshot":
        """Return the snapshot that JSON data encodes.

        :raises magnoliacove.errors.ProtocolError: when the data cannot be
            decoded.
        """
        try:
            values = orjson.loads(data)
            return cls(
                values["configuration"].encode(),
                tuple(_read_target(item) for item in values["targets"]),
                int(values["revision"]),
            )
        except DECODE_ERRORS as exc:
            raise errors.ProtocolError(
                f"a peer's snapshot cannot be decoded: {exc}"
            ) from exc


def _read_target(values: dict[str, object]) -> ListedTarget:
    address = values.pop("address")
    layers = values.pop("layers")
    return ListedTarget(
        **values,  # type: ignore[arg-type]
        address=wire.Address(**address),  # type: ignore[arg-type]
        layers=LayerRange(**layers) if layers else None,  # type: ignore[arg-type]
    )


def _make_hello(name: str) -> Callable[[], messages.Hello]:
    def make() -> messages.Hello:
        version = defaults.PROTOCOL_VERSION
        return messages.Hello(version, name, 0, _ROLE, "", 0, "")

    return make


async def serve_snapshots(
    address: wire.Address,
    name: str,
    network: wire.Network,
    recorder: Recorder,
    make: Callable[[], PeerSnapshot],
) -> None:
    """Serve snapshots to peers until cancelled.

    :param make: returns the current snapshot.
    """

    async def take(
        connection: wire.Connection, message: messages.Message
    ) -> None:
        if isinstance(message, messages.Subscribe):
            connection.post(messages.Snapshot(make().encode()))

    async def serve(stream: trio.abc.Stream) -> None:
        await wire.serve_connection(
            stream, recorder, _make_hello(name), take, messages.Pong
        )

    await network.listen(address, serve, task_status=trio.TASK_STATUS_IGNORED)


async def ask_snapshot(
    address: wire.Address,
    name: str,
    network: wire.Network,
    recorder: Recorder,
    versions: Sequence[int] = (0,),
) -> PeerSnapshot | None:
    """Request a peer's snapshot; return None without a readable answer.

    :param versions: the first is sent as the known configuration version.
    """
    answer = await wire.ask(
        network,
        address,
        recorder.clock,
        _make_hello(name),
        messages.Subscribe(versions[0]),
        messages.Snapshot,
        _ASK_TIMEOUT,
    )
    if answer is None:
        return None
    try:
        return PeerSnapshot.decode(answer.data)
    except errors.ProtocolError as exc:
        recorder.record("snapshot-unreadable", why=str(exc))
        return None
