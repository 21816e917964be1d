"""A soak with targets that announce a limit, a back-off or a shutdown.

The counts include everything that reaches the targets: requests of callers,
reports and orders.
"""

from collections.abc import Iterable
from dataclasses import dataclass
import enum
import pathlib
import time

import trio

from soak.gateway_faults import GatewayFault
from soak.gateway_faults import inject_gateway_fault
from soak.gateways import GatewayProcess
from soak.play import Soak
from soak.targets import Ledger
from soak.targets import Target

__all__ = ["Backpressure", "BackpressureSoak"]

_GATEWAYS = 4
_CALLERS = 28
# Mean pause of a caller between two requests, in seconds.
_REQUEST_INTERVAL = 0.4
# Seconds from the start until targets begin to announce backpressure.
_BACKPRESSURE_AT = 2.0
# Seconds after an answer with a notice from which its gateway must obey it.
_NOTICE_DELAY = 0.5
# Seconds after the first notice, or after a fault of a gateway, from which
# requests count against the limit.
_CONVERGENCE_TIME = 3.0
# Seconds of the window over which requests are counted against the limit, and
# the tolerated factor of the limit and number of requests beyond it.
_WINDOW = 4.0
_MAX_RATE_FACTOR = 1.5
_MAX_BURST = 5
# The limit that targets announce, in requests a second.
RATE = 1.2
# The back-off that targets ask for, in seconds.
BACK_OFF = 3.0
# Seconds after a gateway received the notice of a shutdown from which the
# target must not receive requests from it.
_DRAIN_SECONDS = 2.0


class Backpressure(enum.StrEnum):
    """A header with which targets announce backpressure."""

    LIMIT = "server-limit"
    BACK_OFF = "retry-after"
    LEAVING = "server-leaving"


@dataclass(frozen=True)
class Arrival:
    """One request that reached a target, by the monotonic clock.

    :param request: its id, or "" for a request by a gateway itself.
    """

    at: float
    request: str


class BackpressureTarget(Target):
    """A target that can announce backpressure.

    :param arrivals: all requests that reached it, in order.
    :param refusals: the requests that it refused with a back-off.
    :param backpressure_at: when it began to announce backpressure, infinity
        if it has not yet.
    """

    def __init__(self, name: str, ledger: Ledger) -> None:
        super().__init__(name, ledger, 1, failure_rate=0.0)
        self.arrivals: list[Arrival] = []
        self.refusals: list[Arrival] = []
        self.backpressure_at = float("inf")
        self._refuses_requests = False

    def begin(self, kind: Backpressure) -> None:
        """Announce backpressure from now on."""
        self.backpressure_at = time.monotonic()
        self._refuses_requests = kind is Backpressure.BACK_OFF
        if kind is Backpressure.LIMIT:
            self.extra_headers[kind.value] = str(RATE)
        if kind is Backpressure.LEAVING:
            self.extra_headers[kind.value] = "1"

    def _refuse(
        self, path: str, headers: dict[str, str]
    ) -> dict[str, str] | None:
        request = headers.get("x-request-id", "")
        arrival = Arrival(time.monotonic(), request)
        self.arrivals.append(arrival)
        if not self._refuses_requests or not request:
            return None
        self.refusals.append(arrival)
        return {
            "x-not-executed": "1",
            Backpressure.BACK_OFF.value: str(BACK_OFF),
        }


class BackpressureSoak(Soak):
    """A soak with a model and a plain service under backpressure.

    :param backpressure_targets: the targets that announce backpressure.
    """

    def __init__(
        self,
        seed: int,
        backpressure: Backpressure,
        gateway_fault: GatewayFault,
        folder: pathlib.Path,
    ) -> None:
        super().__init__(seed, _GATEWAYS, folder)
        self._backpressure = backpressure
        self._gateway_fault = gateway_fault
        self._targets = {
            f"{service}-{n}": BackpressureTarget(
                f"{service}-{n}", self._ledger
            )
            for service, count in (("desk", 3), ("llm", 4))
            for n in range(count)
        }
        self.backpressure_targets = [
            self._targets[name] for name in ("desk-0", "llm-0")
        ]
        # When each gateway was killed or resumed after it was frozen.
        self._fault_times: dict[str, list[float]] = {}

    async def _inject_faults(self, seconds: float) -> None:
        with trio.move_on_after(seconds):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    inject_gateway_fault,
                    self._gateways,
                    self._gateway_fault,
                    self._record_fault,
                )
                for number in range(_CALLERS):
                    kinds = ("stream", "idempotent", "stream", "once")
                    nursery.start_soon(self._call, kinds[number % 4])
                await trio.sleep(_BACKPRESSURE_AT)
                for target in self.backpressure_targets:
                    target.begin(self._backpressure)
                await trio.sleep_forever()

    async def _check_recovery(self) -> None:
        """Skip the check: no fault outlasts the run."""

    def _record_fault(self, gateway: str) -> None:
        self._fault_times.setdefault(gateway, []).append(time.monotonic())

    async def _call(self, kind: str) -> None:
        while True:
            await trio.sleep(_REQUEST_INTERVAL * self._rng.uniform(0.5, 1.5))
            gateway: GatewayProcess = self._rng.choice(self._gateways)
            try:
                await self._callers.send_request(gateway, kind)
            except (OSError, trio.BrokenResourceError):
                # The gateway was killed and has not restarted yet.
                continue

    # Measurements.

    def measure_excess(self, target: BackpressureTarget) -> float:
        """Return by how much the busiest window exceeds what is tolerated."""
        counted = [
            arrival.at
            for arrival in target.arrivals
            if arrival.at > target.backpressure_at + _CONVERGENCE_TIME
            and self._has_notice(target, arrival)
        ]
        allowed = _MAX_RATE_FACTOR * RATE * _WINDOW + _MAX_BURST
        peak = max(
            (
                sum(1 for other in counted if at - _WINDOW < other <= at)
                for at in counted
            ),
            default=0,
        )
        return peak - allowed

    def count_requests(self, target: BackpressureTarget) -> int:
        """Return the number of callers' requests under backpressure."""
        return sum(
            1
            for arrival in target.arrivals
            if arrival.request
            and arrival.at > target.backpressure_at + _CONVERGENCE_TIME
        )

    def measure_backpressure_time(self, target: BackpressureTarget) -> float:
        """Return the seconds from convergence on the limit to the end."""
        end = max(arrival.at for arrival in self._list_arrivals())
        return end - target.backpressure_at - _CONVERGENCE_TIME

    def list_back_off_requests(self, target: BackpressureTarget) -> list[int]:
        """Return the number of requests received during each back-off."""
        counts = []
        for refusal in target.refusals:
            gateway = self._callers.sent_to[refusal.request]
            begin, end = refusal.at + _NOTICE_DELAY, refusal.at + BACK_OFF
            if self._had_fault(gateway, refusal.at, end):
                continue
            counts.append(
                self._count_requests_from(target, gateway, begin, end)
            )
        return counts

    def list_late_requests(self, target: BackpressureTarget) -> list[float]:
        """Return the delays of requests that came too late after a notice.

        They are the seconds since the gateway received the notice that the
        target shuts down, or since its own last fault.
        """
        noticed_at: dict[str, float] = {}
        late = []
        for arrival in target.arrivals:
            if not arrival.request or arrival.at < target.backpressure_at:
                continue
            gateway = self._callers.sent_to[arrival.request]
            since = noticed_at.setdefault(gateway, arrival.at)
            if self._had_fault(gateway, since, arrival.at):
                noticed_at[gateway] = arrival.at
            elif arrival.at > since + _DRAIN_SECONDS:
                late.append(arrival.at - since)
        return late

    def list_repeated_notices(self, target: BackpressureTarget) -> list[float]:
        """Return the delays of requests after any gateway had the notice.

        The gateways tell each other.  The delays are the seconds since the
        first request that was answered with the notice.
        """
        answered = [
            arrival.at
            for arrival in target.arrivals
            if arrival.request and arrival.at >= target.backpressure_at
        ]
        return [
            at - answered[0]
            for at in answered
            if at > answered[0] + _DRAIN_SECONDS
        ]

    def _list_arrivals(self) -> Iterable[Arrival]:
        for target in self._targets.values():
            yield from target.arrivals

    def _count_requests_from(
        self,
        target: BackpressureTarget,
        gateway: str,
        begin: float,
        end: float,
    ) -> int:
        return sum(
            1
            for arrival in target.arrivals
            if begin <= arrival.at < end
            and self._callers.sent_to.get(arrival.request) == gateway
        )

    def _has_notice(
        self, target: BackpressureTarget, arrival: Arrival
    ) -> bool:
        """Return whether a request came from a gateway that had the notice.

        Requests by gateways themselves name no gateway and always count.
        """
        if not arrival.request:
            return True
        gateway = self._callers.sent_to[arrival.request]
        fault_times = self._fault_times.get(gateway, [])
        since = max((at for at in fault_times if at < arrival.at), default=0.0)
        if fault_times and arrival.at < since + _CONVERGENCE_TIME:
            return False
        return any(
            self._callers.sent_to.get(other.request) == gateway
            and max(since, target.backpressure_at)
            < other.at
            <= arrival.at - _NOTICE_DELAY
            for other in target.arrivals
        )

    def _had_fault(self, gateway: str, begin: float, end: float) -> bool:
        """Return whether a gateway was killed or resumed in a period."""
        return any(
            begin <= at <= end for at in self._fault_times.get(gateway, [])
        )
