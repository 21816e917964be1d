"""What waits for capacity at a gateway, and who may take freed capacity."""

from dataclasses import dataclass
from typing import Protocol

__all__ = ["RoomSharing", "WaitingSummary"]


@dataclass(frozen=True)
class WaitingSummary:
    """The requests of one urgency that wait for one service at a gateway.

    :param priority: 0 is the most urgent.
    :param requests: how many wait.
    :param tokens: tokens of prompts and answers that they need room for.
    :param oldest: seconds that the one that came first has waited.
    """

    service: str
    priority: int
    requests: int
    tokens: float
    oldest: float


class RoomSharing(Protocol):
    """Decides whether a gateway uses capacity or leaves it to the others."""

    def may_use(self, service: str, priority: int, waited: float) -> bool:
        """Return whether a request may look for capacity now.

        :param waited: seconds since the request arrived.
        """

    def note_used(self, service: str, priority: int) -> None:
        """Record that a request got capacity."""
