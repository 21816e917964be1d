"""Retry budgets, which keep retries from multiplying the load."""

from collections.abc import Callable
from collections.abc import Mapping

import trio

from magnoliacove import defaults
from magnoliacove.limits.windows import WindowCounts

__all__ = ["RetryBudget", "SharedRetryBudget"]

# Maximum fraction of the fleet's budget that is used: the retries of the other
# gateways are known one heartbeat late.
_USABLE_FRACTION = 0.7


class RetryBudget:
    """Bounds retries to a fraction of the requests.

    :param ratio: retries allowed for each request.
    :param burst: retries allowed at once after an idle period.
    """

    def __init__(
        self,
        ratio: float = defaults.RETRY_RATIO,
        burst: float = defaults.RETRY_BURST,
    ) -> None:
        self.spent = 0
        self.denied = 0
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst

    def note_request(self) -> None:
        """Count one request that came from a caller."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def try_spend(self) -> bool:
        """Spend one retry and return whether the budget allowed it."""
        if self._tokens < 1.0:
            self.denied += 1
            return False
        self._tokens -= 1.0
        self.spent += 1
        return True


class SharedRetryBudget:
    """Bounds the retries of all gateways together.

    In each window a service may get a fraction of its requests, plus a fixed
    number, as retries.  Each gateway counts its own retries and receives the
    counts of the others in their heartbeats.

    :param ratio: retries allowed for each request.
    :param slack: retries allowed beyond that in a window.
    :param window: length of the window in seconds.
    """

    def __init__(
        self,
        ratio: float,
        slack: float,
        window: float,
        read_time: Callable[[], float] = trio.current_time,
    ) -> None:
        self.denied = 0
        self._ratio = ratio
        self._slack = slack
        self._requests = WindowCounts(window, read_time)
        self._retries = WindowCounts(window, read_time)
        self._others: dict[str, Mapping[str, tuple[int, int]]] = {}

    def note_request(self, service: str) -> None:
        """Count one request that came from a caller."""
        self._requests.note(service)

    def try_spend(self, service: str) -> bool:
        """Spend one retry and return whether the budget allowed it."""
        if self.read_remaining(service) <= 0.0:
            self.denied += 1
            return False
        self._retries.note(service)
        return True

    def read_remaining(self, service: str) -> float:
        """Return the number of retries that the budget still allows.

        :returns: not above 0 when it allows none.
        """
        requests, retries = self._count(service)
        others = [
            counts.get(service, (0, 0)) for counts in self._others.values()
        ]
        requests += sum(counts[0] for counts in others)
        retries += sum(counts[1] for counts in others)
        bound = _USABLE_FRACTION * (self._ratio * requests + self._slack)
        return bound - retries

    def list_counts(self) -> dict[str, tuple[int, int]]:
        """Return each service's requests and retries in the window."""
        names = self._requests.list_names() | self._retries.list_names()
        return {name: self._count(name) for name in names}

    def take_others(
        self, gateway: str, counts: Mapping[str, tuple[int, int]]
    ) -> None:
        """Replace the counts that another gateway reported."""
        self._others[gateway] = counts

    def forget_peers(self, gateways: list[str]) -> None:
        """Discard the counts of gateways that are unreachable."""
        for gateway in gateways:
            self._others.pop(gateway, None)

    def _count(self, service: str) -> tuple[int, int]:
        return self._requests.count(service), self._retries.count(service)
