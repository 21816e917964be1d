"""What is recorded of one part of prompts: crashes under it, and its proof."""

from collections import OrderedDict
from collections.abc import Collection
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
import math

from magnoliacove.limits.runs import CrashedRun

__all__ = ["NO_PROOF", "FoundPart", "PartCrashes", "Proof", "SoundPart"]

# Maximum numbers of crashes and of requests of each part.
_MAX_CRASHES = 16


@dataclass(frozen=True)
class SoundPart:
    """A part that a lasting run cleared, for the peers.

    :param age: seconds since that run began.
    """

    fingerprint: str
    age: float


@dataclass(frozen=True)
class FoundPart:
    """A part that crashes targets.

    :param crashes: number of targets that crashed under it.
    """

    fingerprint: str
    crashes: int


@dataclass(frozen=True)
class Proof:
    """The last run that cleared a part.

    :param began_at: when it began; crashes before do not count any more.
    :param noted_at: when it was noted here.
    :param own: whether it ran at this gateway.
    """

    began_at: float
    noted_at: float
    own: bool


NO_PROOF = Proof(-math.inf, -math.inf, False)


@dataclass
class PartCrashes:
    """The crashes with one part since it was last cleared.

    :param crashes: by target, when it crashed.
    :param requests: by request, when a target last crashed under it.
    """

    crashes: OrderedDict[str, float] = field(default_factory=OrderedDict)
    requests: OrderedDict[int, float] = field(default_factory=OrderedDict)
    last_at: float = -math.inf

    def note(self, run: CrashedRun, at: float) -> bool:
        """Record a crash; return whether its target or request is new."""
        is_new = run.target not in self.crashes
        is_new = is_new or run.attempt not in self.requests
        self.crashes.setdefault(run.target, at)
        self.requests[run.attempt] = at
        self.last_at = max(self.last_at, at)
        while len(self.crashes) > _MAX_CRASHES:
            self.crashes.popitem(last=False)
        while len(self.requests) > _MAX_CRASHES:
            self.requests.popitem(last=False)
        return is_new

    def list_explained(
        self, explained: Mapping[int, Collection[str]]
    ) -> set[str]:
        """Return the targets that crashed under requests without the part."""
        return {
            target
            for request, targets in explained.items()
            if request not in self.requests
            for target in targets
        }

    def drop_until(self, moment: float) -> int:
        """Discard what came before a moment; return the crashes discarded."""
        held = len(self.crashes)
        self.crashes = OrderedDict(
            (target, at) for target, at in self.crashes.items() if at > moment
        )
        self.requests = OrderedDict(
            (request, at)
            for request, at in self.requests.items()
            if at > moment
        )
        return held - len(self.crashes)
