"""Idempotency keys, by which a request runs at most once.

Each key has one owner among a service's targets.  The owner remembers the
keys that it ran for a window of time.  It runs a key that it does not
remember only if no other target can have run it: because it has owned the
key for the whole window, because the key was minted after the last time at
which another target could own it, or because the former owners report that
they never saw it.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
import enum
import re
from typing import Any
import uuid

import trio

from magnoliacove import defaults
from magnoliacove.routing import choose_owner

__all__ = [
    "Decision",
    "KeyTable",
    "KeyUse",
    "Ownership",
    "read_mint_time",
]

_ULID_ALPHABET = "0123456789ABCDEFGHJKMNPQRSTVWXYZ"
_ULID = re.compile(f"[{_ULID_ALPHABET}]{{26}}")
# Characters of a ULID that encode its time.
_ULID_TIME_LENGTH = 10


def read_mint_time(key: str) -> float | None:
    """Return when a time-ordered key was minted, or None for other keys.

    :returns: seconds since the epoch, read from a UUID of version 7 or a
        ULID.
    """
    if _ULID.fullmatch(key.upper()):
        value = 0
        for letter in key.upper()[:_ULID_TIME_LENGTH]:
            value = value * 32 + _ULID_ALPHABET.index(letter)
        return value / 1000
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    return (parsed.int >> 80) / 1000 if parsed.version == 7 else None


class Decision(enum.Enum):
    """How to handle a key that is not remembered."""

    RUN = "run"
    ASK = "ask"
    MAY_HAVE_RUN = "may_have_run"


@dataclass(eq=False)
class KeyUse:
    """The use of one key by this agent.

    :param acquired_at: when the key was acquired, by trio's clock.
    :param done: set once the request has ended or the key was released.
    :param digest: the digest of the request.
    :param record: the request's result; None while the request runs, and
        if the result was too large or never arrived.
    :param size: the size of the record in bytes.
    """

    key: str
    acquired_at: float
    done: trio.Event
    digest: bytes
    record: Any = None
    size: int = 0


class KeyTable:
    """The keys that this agent ran within the window.

    The table is bounded.  A full table accepts no further keys, because a
    key that was evicted early could run twice.

    :param window: seconds for which a key is remembered.
    """

    def __init__(
        self,
        *,
        window: float = defaults.KEY_WINDOW,
        max_keys: int = defaults.MAX_KEYS,
    ) -> None:
        self._window = window
        self._max_keys = max_keys
        self._uses: OrderedDict[str, KeyUse] = OrderedDict()
        self._recorded_bytes = 0

    def __len__(self) -> int:
        return len(self._uses)

    @property
    def full(self) -> bool:
        """Whether no further key can be added."""
        self._expire()
        return len(self._uses) >= self._max_keys

    def find(self, key: str) -> KeyUse | None:
        """Return the use of a key, or None if it is not remembered."""
        self._expire()
        return self._uses.get(key)

    def begin(self, key: str, digest: bytes) -> KeyUse:
        """Add a key before its request is forwarded."""
        use = KeyUse(key, trio.current_time(), trio.Event(), digest)
        self._uses[key] = use
        return use

    def cancel(self, use: KeyUse) -> None:
        """Remove a key whose request is known not to have run."""
        if self._uses.get(use.key) is use:
            del self._uses[use.key]
        use.done.set()

    def finish(self, use: KeyUse, record: Any, size: int) -> None:
        """Record the result of a key's request if it fits in the table.

        :param record: the answer, or None when it is not known.
        :param size: the size of the record in bytes.
        """
        fits = (
            size <= defaults.MAX_RECORDED_ANSWER
            and self._recorded_bytes + size <= defaults.MAX_RECORDED_BYTES
        )
        if record is not None and fits:
            use.record = record
            use.size = size
            self._recorded_bytes += size
        use.done.set()

    def _expire(self) -> None:
        limit = trio.current_time() - self._window
        while self._uses:
            use = next(iter(self._uses.values()))
            if use.acquired_at > limit or not use.done.is_set():
                return
            self._recorded_bytes -= use.size
            del self._uses[use.key]


@dataclass(frozen=True)
class _OwnershipPeriod:
    """A period in which one set of targets owned a service's keys.

    :param since: seconds since the epoch.
    """

    targets: frozenset[str]
    since: float


class Ownership:
    """The owners of one service's keys over time, as seen by this agent.

    :param own_target: this agent's target.
    :param read_started: returns when this agent could first acquire keys,
        in seconds of its clock.
    :param read_clock: returns wall-clock seconds that never go back.
    :param window: seconds for which a key is remembered.
    :param skew: allowed difference between the clocks of two processes,
        in seconds.
    """

    def __init__(
        self,
        own_target: str,
        read_started: Callable[[], float],
        read_clock: Callable[[], float],
        *,
        window: float = defaults.KEY_WINDOW,
        skew: float = defaults.KEY_CLOCK_SKEW,
    ) -> None:
        self._own_target = own_target
        self._read_started = read_started
        self._read_clock = read_clock
        self._window = window
        self._skew = skew
        self._service_is_new = False
        self._periods: list[_OwnershipPeriod] = []

    @property
    def targets(self) -> frozenset[str]:
        """The present owners of the service's keys."""
        return self._periods[-1].targets if self._periods else frozenset()

    def update_targets(
        self, targets: frozenset[str], *, service_is_new: bool
    ) -> None:
        """Update the service's targets after a configuration change.

        :param service_is_new: whether the service was created after this
            agent started, so that its keys had no earlier owner.
        """
        self._service_is_new = service_is_new
        if self._periods and targets == self.targets:
            return
        now = self._read_clock()
        self._periods.append(_OwnershipPeriod(targets, now))
        while (
            len(self._periods) > 1
            and self._periods[1].since < now - self._window
        ):
            del self._periods[0]

    def owns(self, key: str) -> bool:
        """Return whether this agent owns a key now."""
        return choose_owner(key, self.targets) == self._own_target

    def get_seconds_ahead(self, key: str) -> float:
        """Return by how many seconds a key's mint time is in the future."""
        minted = read_mint_time(key)
        return max(0.0, minted - self._read_clock()) if minted else 0.0

    def decide(self, key: str) -> tuple[Decision, tuple[str, ...]]:
        """Decide how to handle an owned key that is not remembered.

        :returns: the decision and, for :attr:`Decision.ASK`, the targets
            that may have run the key.
        """
        now = self._read_clock()
        minted = read_mint_time(key)
        earliest = now - self._window
        if minted is not None:
            earliest = max(earliest, minted - self._skew)
        if self._read_started() > earliest and not self._service_is_new:
            return Decision.MAY_HAVE_RUN, ()
        former = self._list_former_owners(key, earliest)
        return (Decision.ASK, former) if former else (Decision.RUN, ())

    def _list_former_owners(
        self, key: str, earliest: float
    ) -> tuple[str, ...]:
        """Return the other targets that owned a key after a point in time.

        A former owner may receive the change of owner later than this
        agent does, so each period is extended by the clock skew.
        """
        owners = set()
        for index, period in enumerate(self._periods[:-1]):
            ended = self._periods[index + 1].since + self._skew
            if ended >= earliest:
                owners.add(choose_owner(key, period.targets))
        return tuple(sorted(owners - {self._own_target, ""}))
