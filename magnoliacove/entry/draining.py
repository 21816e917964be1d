"""Draining targets in a stream's chain, and when to move off them."""

import trio

from magnoliacove import defaults
from magnoliacove.entry.replanning import ChainInterrupted
from magnoliacove.entry.replanning import ChainPlanner
from magnoliacove.entry.replanning import StreamChain

__all__ = ["DrainingTargets"]


class DrainingTargets:
    """The targets of a stream that announced a drain."""

    def __init__(self) -> None:
        self._since: dict[str, float] = {}

    def mark_draining(self, name: str) -> None:
        """Record that a target is draining."""
        self._since.setdefault(name, trio.current_time())

    def check(self, chain: StreamChain, planner: ChainPlanner) -> None:
        """Move off draining targets if other targets can replace them.

        :raises ChainInterrupted: naming the targets to replace.
        """
        now = trio.current_time()
        draining = frozenset(
            name
            for name, since in self._since.items()
            if now - since > defaults.DRAIN_MOVE_AFTER and name in chain.names
        )
        if not draining:
            return
        for name in draining:
            # Only one attempt to move: if no other target has capacity,
            # the stream completes in place, well before the instance is
            # stopped.
            del self._since[name]
        others = frozenset(chain.names)
        for stage in chain.stages:
            if stage.target not in draining:
                continue
            if not planner.choose(stage.first_layer, stage.end_layer, others):
                return
        raise ChainInterrupted("the instance leaves", draining, draining)
