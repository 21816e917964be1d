"""A stand-in of a model engine that holds a range of layers."""

import asyncio
import json
from typing import Any

from stand_ins_2.messages import Message
from stand_ins_2.messages import write_head
from stand_ins_2.record import Record
from stand_ins_2.store import Store
from stand_ins_2.targets import Target

__all__ = ["ModelEngine", "make_model_service"]

# Seconds between two events of a stream.
_EVENT_SECONDS = 0.02


def make_model_service(
    name: str, layers: int, kinds: dict[str, int]
) -> dict[str, Any]:
    """Return a service of model engines, as the configuration lists it.

    :param kinds: the memory in MB of each kind of accelerator.
    """
    return {
        "name": name,
        "health_path": "/health",
        "max_connections": 978,
        "protocol": "h1",
        "tls": False,
        "engine": {
            "slots": 96,
            "kv_token_bytes": 1_180_000,
            "stride": 2,
            "models": [{"name": f"m-{name}", "load_time_s": 14.0}],
            "step_ms": 0.85,
            "per_seq_ms": 0.00764,
            "context_per_k": 0.01024,
            "read_per_s": 196000.0,
            "chunk": 512,
            "report_lag_ms": 200.0,
            "loads_at_once": 6,
            "usual": {"prompt": 772, "answer": 174},
            "layers": layers,
            "layer_mb": 1750.0,
            "activation_bytes": 59000,
            "pipe_mbps": 11000.0,
            "kinds": [
                {"name": kind, "mb": mb, "pace": 1.4, "read_x": 1.0}
                for kind, mb in kinds.items()
            ],
        },
    }


class ModelEngine(Target):
    """An engine that obeys orders as the pages say.

    :param kind: its kind of accelerator.
    :param memory_mb: the memory of that kind.
    :param overloads: the orders to hold more layers than its memory holds.
    """

    def __init__(
        self,
        name: str,
        service: str,
        store: Store,
        record: Record,
        *,
        kind: str,
        memory_mb: float,
        layer_mb: float = 1750.0,
        load_seconds: float = 1.4,
        port: int = 0,
        events: int = 20,
    ) -> None:
        super().__init__(
            name,
            service,
            store,
            record,
            port=port,
            fields={"kind": kind, "stage": "both"},
        )
        self.orders: list[tuple[int, int]] = []
        self.overloads: list[tuple[int, int]] = []
        self.memory_mb = memory_mb
        self._layer_mb = layer_mb
        self._load_seconds = load_seconds
        self._events = events
        self._sequence = 0
        self._busy = False
        self._layers: tuple[int, int] | None = None

    def _describe_layers(self) -> dict[str, Any]:
        if self._layers is None:
            return {}
        first, end = self._layers
        return {"layers": {"from": first, "to": end, "version": 1}}

    def describe(self) -> dict[str, Any]:
        """Return the entry."""
        return {
            **super().describe(),
            "sequence": self._sequence,
            **self._describe_layers(),
        }

    def report(self) -> dict[str, Any]:
        """Return the report."""
        return {
            **super().report(),
            "kv_total": 50_000.0,
            "busy": self._busy,
            "sequence": self._sequence,
            **self._describe_layers(),
        }

    async def _answer(
        self, request: Message, writer: asyncio.StreamWriter
    ) -> None:
        if request.first[1] != "/v1/order":
            await super()._answer(request, writer)
            return
        expected = request.headers.get("x-target-instance")
        order = json.loads(request.body)
        self.record.write(
            f"engine {self.name} is ordered {order}, for instance {expected}"
        )
        if expected not in (None, self.name):
            await self.send(writer, 421, {}, b"{}")
            return
        status = self._begin_order(order)
        await self.send(writer, status, {}, b"{}")

    def _begin_order(self, order: dict[str, Any]) -> int:
        if order.get("operation") != "place":
            return 404
        if order.get("precondition", self._sequence) != self._sequence:
            return 409
        wanted = (order["from"], order["to"])
        self.orders.append(wanted)
        if self._layers == wanted:
            return 200
        if self._busy:
            return 409
        self._sequence += 1
        if (wanted[1] - wanted[0]) * self._layer_mb > self.memory_mb:
            self.overloads.append(wanted)
            self.record.write(
                f"engine {self.name} has {self.memory_mb:.0f} MB and is "
                f"ordered to hold layers {wanted[0]} to {wanted[1]} of "
                f"{self._layer_mb:.0f} MB each"
            )
            asyncio.get_running_loop().call_later(
                0.05, self.end, "more layers than its memory holds"
            )
            return 202
        self._busy = True
        asyncio.get_running_loop().call_later(
            self._load_seconds, self._finish_order, wanted
        )
        return 202

    def _finish_order(self, wanted: tuple[int, int]) -> None:
        self._busy = False
        self._layers = wanted
        if not self.ended:
            self.register()

    async def run_request(
        self, request: Message, name: str, writer: asyncio.StreamWriter
    ) -> None:
        """Stream the events of one request."""
        self.runs.append((self.record.now(), name))
        head = {
            "X-Response-Stamp": f"{self.name}.s",
            "X-Request-Id": name,
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        writer.write(write_head("HTTP/1.1 200 OK", head))
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, self._events + 1):
            await asyncio.sleep(_EVENT_SECONDS)
            event = f"id: {number}\ndata: {name} {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.record.write(f"engine {self.name} has streamed {name}")
