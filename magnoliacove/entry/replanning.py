"""Planning a stream's chain anew after a loss.

What lives of a chain is kept: the gap that lost stages leave is filled by
other targets, and only where that cannot be done the whole chain is chosen
again, on which every step runs once more.
"""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

import trio

from magnoliacove import routing
from magnoliacove.entry.pool import TargetPool

__all__ = ["ChainLost", "ChainPlanner", "HeldChain"]

# A target that troubled this stream is left out for so long, in seconds, if
# there are others.
_AVOIDED = 5.0
_RECONNECT_TIMEOUT = 0.5
_RECONNECT_POLL = 0.01


class ChainLost(Exception):
    """The chain cannot go on as it is.

    :param names: the targets to be replaced; none when the same chain is
        only to be told a new attempt.
    :param movable: those of them that still hold their KV cache.
    :param whole: nothing of the chain can be used any longer.
    :param reconnect: the targets may be there again on a new connection.
    """

    def __init__(
        self,
        reason: str,
        names: frozenset[str] = frozenset(),
        movable: frozenset[str] = frozenset(),
        *,
        whole: bool = False,
        reconnect: bool = False,
    ) -> None:
        super().__init__(reason)
        self.names = names
        self.movable = movable
        self.whole = whole
        self.reconnect = reconnect


@dataclass
class HeldChain:
    """The present chain, and which of its stages are held already."""

    stages: routing.Chain = ()
    held: set[str] = field(default_factory=set)
    imports: dict[str, str] = field(default_factory=dict)

    @property
    def names(self) -> tuple[str, ...]:
        """The targets, in order."""
        return tuple(stage.target for stage in self.stages)


class ChainPlanner:
    """Chooses the chains of one stream.

    :param layers: how many layers the model has.
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

    def avoid(self, target: str) -> None:
        """Leave a target out for a while, if there are others."""
        self._avoided[target] = trio.current_time()

    async def try_reconnect(self, loss: ChainLost) -> ChainLost:
        """Tell a dead connection from a dead target.

        A connection may be dead while its target lives.  Replacing the
        target would then run its layers again for nothing, so a new
        connection is given a moment; a dead target refuses it at once.

        :returns: the loss, naming only the targets that are gone.
        """
        with trio.move_on_after(_RECONNECT_TIMEOUT):
            while any(self._pool.is_reconnecting(n) for n in loss.names):
                await trio.sleep(_RECONNECT_POLL)
        gone = frozenset(n for n in loss.names if not self._pool.find(n))
        return ChainLost(str(loss), gone, loss.movable, whole=loss.whole)

    def replace(self, present: HeldChain, loss: ChainLost) -> HeldChain | None:
        """Return the chain after a loss, None when there is none now."""
        if loss.whole:
            return self._choose_whole()
        names = loss.names & set(present.names)
        if not names:
            return HeldChain(present.stages, present.held)
        stages: list[routing.ChainStage] = []
        imports: dict[str, str] = {}
        for gap, kept in _split(present.stages, names):
            if kept is not None:
                stages.append(kept)
                continue
            first, end = gap[0].first_layer, gap[-1].end_layer
            kept_names = frozenset(present.names)
            found = self.choose(first, end, kept_names) or self.choose(
                # A lost target that is usable again has started anew.  It
                # goes before a whole new chain, on which the stages that
                # lived would run all their steps again.
                first,
                end,
                kept_names - names,
            )
            if found is None:
                return self._choose_whole()
            imports.update(_match_imports(gap, found, loss.movable))
            stages.extend(found)
        return HeldChain(
            tuple(stages),
            present.held - names,
            {n: self._address_of(src) for n, src in imports.items()},
        )

    def _choose_whole(self) -> HeldChain | None:
        chain = self.choose(0, self._layers, frozenset())
        return HeldChain(chain) if chain else None

    def choose(
        self, first: int, end: int, without: frozenset[str]
    ) -> routing.Chain | None:
        """Return stages for a range of layers, None when there are none.

        :param without: targets that are not to be used.
        """
        now = trio.current_time()
        recent = {n for n, at in self._avoided.items() if now - at < _AVOIDED}
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
    """Return the stages in order: runs of lost ones, and kept ones."""
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
    found: routing.Chain,
    movable: frozenset[str],
) -> dict[str, str]:
    """Return, for each new stage, the old one with the same layers."""
    old = {(s.first_layer, s.end_layer): s.target for s in gap}
    matched = {}
    for stage in found:
        source = old.get((stage.first_layer, stage.end_layer))
        if source in movable and source is not None:
            matched[stage.target] = source
    return matched
