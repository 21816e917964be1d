"""A retry budget, which keeps retries from multiplying the load."""

from magnoliacove import defaults

__all__ = ["RetryBudget"]


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
