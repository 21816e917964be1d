"""Idempotency keys, by which a request runs at most once.

Each key has one owner among a service's targets.  The owner remembers the
keys it ran for a window.  It runs a key that it does not remember only if
nobody can have run it before: because it owned the key all along, because
the key was minted later than the last time somebody else could own it, or
because the former owner says that it never saw it.
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
    "KeyTable",
    "KeyUse",
    "Ownership",
    "Verdict",
    "read_mint_time",
]

_ULID_ALPHABET = "0123456789ABCDEFGHJKMNPQRSTVWXYZ"
_ULID = re.compile(f"[{_ULID_ALPHABET}]{{26}}")
_ULID_TIME_LENGTH = 10


def read_mint_time(key: str) -> float | None:
    """Return when a time-ordered key was minted, or None for another key.

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


class Verdict(enum.Enum):
    """What is to be done with a key."""

    RUN = "run"
    ASK = "ask"
    MAY_HAVE_RUN = "may_have_run"


@dataclass(eq=False)
class KeyUse:
    """One key that this agent ran.

    :param record: what the request led to; None while it runs and when
        it was too large or never came.
    """

    key: str
    at: float
    done: trio.Event
    digest: bytes
    record: Any = None
    size: int = 0


class KeyTable:
    """The keys that this agent ran within the window.

    The table is bounded.  When it is full it takes no further keys, since
    forgetting one early would let it run twice.
    """

    def __init__(
        self,
        *,
        window: float = defaults.KEY_WINDOW,
        most: int = defaults.MAX_KEYS,
    ) -> None:
        self._window = window
        self._most = most
        self._uses: OrderedDict[str, KeyUse] = OrderedDict()
        self._recorded_bytes = 0

    def __len__(self) -> int:
        return len(self._uses)

    @property
    def full(self) -> bool:
        """Whether no further key can be taken."""
        self._expire()
        return len(self._uses) >= self._most

    def find(self, key: str) -> KeyUse | None:
        """Return what is remembered of a key, or None."""
        self._expire()
        return self._uses.get(key)

    def begin(self, key: str, digest: bytes) -> KeyUse:
        """Remember a key, before its request is sent on."""
        use = KeyUse(key, trio.current_time(), trio.Event(), digest)
        self._uses[key] = use
        return use

    def cancel(self, use: KeyUse) -> None:
        """Forget a key whose request surely did not run."""
        if self._uses.get(use.key) is use:
            del self._uses[use.key]
        use.done.set()

    def finish(self, use: KeyUse, record: Any, size: int) -> None:
        """Record what a key's request led to, if there is room.

        :param record: the answer, or None when it is not known.
        :param size: of the record, in bytes.
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
            if use.at > limit or not use.done.is_set():
                return
            self._recorded_bytes -= use.size
            del self._uses[use.key]


@dataclass(frozen=True)
class _Period:
    """A set of targets that owned a service's keys from a time on."""

    targets: frozenset[str]
    since: float


class Ownership:
    """Who owned the keys of one service, as this agent saw it.

    :param own: this agent's target.
    :param read_started: returns when this agent could first take keys, in
        seconds of its clock.
    :param read_clock: returns wall-clock seconds that never go back.
    """

    def __init__(
        self,
        own: str,
        read_started: Callable[[], float],
        read_clock: Callable[[], float],
        *,
        window: float = defaults.KEY_WINDOW,
        skew: float = defaults.KEY_CLOCK_SKEW,
    ) -> None:
        self._own = own
        self._read_started = read_started
        self._read_clock = read_clock
        self._window = window
        self._skew = skew
        self._pristine = False
        self._periods: list[_Period] = []

    @property
    def targets(self) -> frozenset[str]:
        """The present owners."""
        return self._periods[-1].targets if self._periods else frozenset()

    def note_targets(self, targets: frozenset[str], *, pristine: bool) -> None:
        """Note the service's targets whenever the configuration changes.

        :param pristine: whether the service came into being after this
            agent had started, so that nobody owned its keys earlier.
        """
        self._pristine = pristine
        if self._periods and targets == self.targets:
            return
        now = self._read_clock()
        self._periods.append(_Period(targets, now))
        while (
            len(self._periods) > 1
            and self._periods[1].since < now - self._window
        ):
            del self._periods[0]

    def owns(self, key: str) -> bool:
        """Return whether this agent owns a key now."""
        return choose_owner(key, self.targets) == self._own

    def lead(self, key: str) -> float:
        """Return how many seconds a key was minted ahead of our clock."""
        minted = read_mint_time(key)
        return max(0.0, minted - self._read_clock()) if minted else 0.0

    def judge(self, key: str) -> tuple[Verdict, tuple[str, ...]]:
        """Return what to do with an owned key that is not remembered.

        :returns: the verdict and, for :attr:`Verdict.ASK`, the targets
            that may have run the key.
        """
        now = self._read_clock()
        minted = read_mint_time(key)
        earliest = now - self._window
        if minted is not None:
            earliest = max(earliest, minted - self._skew)
        if self._read_started() > earliest and not self._pristine:
            return Verdict.MAY_HAVE_RUN, ()
        former = self._list_former(key, earliest)
        return (Verdict.ASK, former) if former else (Verdict.RUN, ())

    def _list_former(self, key: str, earliest: float) -> tuple[str, ...]:
        """Return the others who owned a key after a time.

        A former owner may have been late to learn that it was one, so a
        period counts for the clock skew longer than it lasted here.
        """
        owners = set()
        for index, period in enumerate(self._periods[:-1]):
            ended = self._periods[index + 1].since + self._skew
            if ended >= earliest:
                owners.add(choose_owner(key, period.targets))
        return tuple(sorted(owners - {self._own, ""}))
