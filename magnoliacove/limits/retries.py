"""A budget for retries, so that a failure does not multiply the load."""

from magnoliacove import defaults

__all__ = ["RetryBudget"]


class RetryBudget:
    """Lets retries be a bounded part of the requests.

    :param ratio: retries allowed for each request.
    :param burst: retries allowed at once, after a quiet time.
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
        """Take one retry out of the budget, if there is one."""
        if self._tokens < 1.0:
            self.denied += 1
            return False
        self._tokens -= 1.0
        self.spent += 1
        return True
