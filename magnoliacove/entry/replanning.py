"""Replanning of a stream's chain after an interruption.

Surviving stages are kept, and other targets fill the gap that failed stages
leave.  Only if that is not possible, a whole new chain is chosen, on which
every step runs again.
"""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

import trio

from magnoliacove import routing
from magnoliacove.entry.pool import TargetPool

__all__ = ["ChainInterrupted", "ChainPlanner", "StreamChain", "merge"]

# Seconds for which a stream avoids a target that failed it, if there are
# other targets.
_AVOID_DURATION = 5.0
# Seconds that a stream waits for a new connection to a target.
_RECONNECT_TIMEOUT = 0.5
# Seconds between two checks whether that connection is open.
_RECONNECT_POLL = 0.01


class ChainInterrupted(Exception):
    """Raised when the chain cannot continue unchanged.

    :param names: the targets to replace; empty when the same chain only
        needs a new attempt.
    :param movable: the targets among them that still have their KV cache.
    :param replace_all: whether no stage of the chain is usable any longer.
    :param reconnect: whether the targets may be reachable on a new
        connection.
    :param excluded: whether the planner excludes the targets, so that the
        pauses between attempts need not grow.
    """

    def __init__(
        self,
        reason: str,
        names: frozenset[str] = frozenset(),
        movable: frozenset[str] = frozenset(),
        *,
        replace_all: bool = False,
        reconnect: bool = False,
        excluded: bool = False,
    ) -> None:
        super().__init__(reason)
        self.names = names
        self.movable = movable
        self.replace_all = replace_all
        self.reconnect = reconnect
        self.excluded = excluded


def merge(
    previous: ChainInterrupted | None, latest: ChainInterrupted
) -> ChainInterrupted:
    """Merge two interruptions; a second may occur while recovering."""
    if previous is None or not previous.names | latest.names:
        return latest
    return ChainInterrupted(
        str(latest),
        previous.names | latest.names,
        (previous.movable | latest.movable) - (latest.names - latest.movable),
        replace_all=previous.replace_all or latest.replace_all,
        reconnect=latest.reconnect,
    )


@dataclass
class StreamChain:
    """A chain, and which of its stages are already open.

    :param opened: the targets whose stage is open.
    :param imports: for each target that imports a KV cache, the address
        of the agent to import it from.
    """

    stages: routing.Chain = ()
    opened: set[str] = field(default_factory=set)
    imports: dict[str, str] = field(default_factory=dict)

    @property
    def names(self) -> tuple[str, ...]:
        """The targets, in order."""
        return tuple(stage.target for stage in self.stages)


class ChainPlanner:
    """Chooses the chains of one stream.

    :param layers: the number of layers of the model.
    :param address_of: returns a target's address by its name, or "".
    """

    def __init__(
        self,
        service: str,
        layers: int,
        pool: TargetPool,
        chooser: routing.ChainChooser,
        address_of: Callable[[str], str],
    ) -> None:
        self._service = service
        self._layers = layers
        self._pool = pool
        self._chooser = chooser
        self._address_of = address_of
        self._avoided: dict[str, float] = {}
        self._excluded_until: dict[str, float] = {}

    def avoid(self, target: str) -> None:
        """Avoid a target for a while, if there are others."""
        self._avoided[target] = trio.current_time()

    def exclude(self, target: str, seconds: float) -> None:
        """Exclude a target that surely refuses for a while."""
        self._excluded_until[target] = trio.current_time() + seconds

    def may_be_served(self, deadline: float) -> bool:
        """Return whether targets may serve all layers before a deadline.

        A target whose agent is not connected may start again at any moment;
        one that is excluded can't be back before that time.
        """
        options = self._pool.list_listed(
            self._service, self._list_excluded(deadline)
        )
        chain = self._chooser.choose(
            options, 0, self._layers, self._pool.estimates
        )
        return chain is not None

    def _list_excluded(self, time: float) -> frozenset[str]:
        return frozenset(
            n for n, until in self._excluded_until.items() if time < until
        )

    async def try_reconnect(
        self, interruption: ChainInterrupted
    ) -> ChainInterrupted:
        """Distinguish a broken connection from a failed target.

        A connection may break while its target still works.  Replacing the
        target would then run its layers again without need, so this waits
        briefly for a new connection; a failed target refuses it at once.

        :returns: the interruption, naming only the unreachable targets.
        """
        with trio.move_on_after(_RECONNECT_TIMEOUT):
            while any(
                self._pool.is_reconnecting(n) for n in interruption.names
            ):
                await trio.sleep(_RECONNECT_POLL)
        unreachable = frozenset(
            n for n in interruption.names if not self._pool.find(n)
        )
        return ChainInterrupted(
            str(interruption),
            unreachable,
            interruption.movable,
            replace_all=interruption.replace_all,
        )

    def replace(
        self, present: StreamChain, interruption: ChainInterrupted
    ) -> StreamChain | None:
        """Return the chain after an interruption, or None if none exists."""
        if interruption.replace_all:
            return self._choose_new_chain()
        names = interruption.names & set(present.names)
        if not names:
            return StreamChain(present.stages, present.opened)
        stages: list[routing.ChainStage] = []
        imports: dict[str, str] = {}
        for gap, kept in _split(present.stages, names):
            if kept is not None:
                stages.append(kept)
                continue
            first, end = gap[0].first_layer, gap[-1].end_layer
            kept_names = frozenset(present.names)
            replacement = self.choose(first, end, kept_names) or self.choose(
                # A failed target that is usable again has restarted.  It
                # is preferred to a whole new chain, on which the surviving
                # stages would run all their steps again.
                first,
                end,
                kept_names - names,
            )
            if replacement is None:
                return self._choose_new_chain()
            imports.update(
                _match_imports(gap, replacement, interruption.movable)
            )
            stages.extend(replacement)
        return StreamChain(
            tuple(stages),
            present.opened - names,
            {n: self._address_of(src) for n, src in imports.items()},
        )

    def _choose_new_chain(self) -> StreamChain | None:
        chain = self.choose(0, self._layers, frozenset())
        return StreamChain(chain) if chain else None

    def choose(
        self, first: int, end: int, without: frozenset[str]
    ) -> routing.Chain | None:
        """Return stages for a range of layers, or None if there are none.

        :param without: targets that must not be used.
        """
        now = trio.current_time()
        recent = {
            n for n, at in self._avoided.items() if now - at < _AVOID_DURATION
        }
        without |= self._list_excluded(now)
        for excluded in (without | recent, without):
            options = self._pool.list_options(self._service, excluded)
            chain = self._chooser.choose(
                options, first, end, self._pool.estimates
            )
            if chain is not None:
                return chain
        return None


def _split(
    stages: routing.Chain, names: frozenset[str] | set[str]
) -> list[tuple[list[routing.ChainStage], routing.ChainStage | None]]:
    """Return the stages in order: runs to replace, and kept stages."""
    parts: list[
        tuple[list[routing.ChainStage], routing.ChainStage | None]
    ] = []
    gap: list[routing.ChainStage] = []
    for stage in stages:
        if stage.target in names:
            gap.append(stage)
            continue
        if gap:
            parts.append((gap, None))
            gap = []
        parts.append(([], stage))
    if gap:
        parts.append((gap, None))
    return parts


def _match_imports(
    gap: list[routing.ChainStage],
    replacement: routing.Chain,
    movable: frozenset[str],
) -> dict[str, str]:
    """Map each new target to the old one that can export its cache.

    Both must serve the same range of layers.
    """
    old = {(s.first_layer, s.end_layer): s.target for s in gap}
    matched = {}
    for stage in replacement:
        source = old.get((stage.first_layer, stage.end_layer))
        if source in movable and source is not None:
            matched[stage.target] = source
    return matched
