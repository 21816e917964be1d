"""Agents of a stream's chain that leave, and when to move away from them."""

import trio

from magnoliacove import defaults
from magnoliacove.entry.replanning import ChainLost
from magnoliacove.entry.replanning import ChainPlanner
from magnoliacove.entry.replanning import HeldChain

__all__ = ["LeavingTargets"]


class LeavingTargets:
    """The targets that told a stream that they leave."""

    def __init__(self) -> None:
        self._since: dict[str, float] = {}

    def note(self, name: str) -> None:
        """Note that a target leaves."""
        self._since.setdefault(name, trio.current_time())

    def check(self, chain: HeldChain, planner: ChainPlanner) -> None:
        """Move away from targets that leave, if others can replace them.

        :raises ChainLost: naming the targets to be replaced.
        """
        now = trio.current_time()
        leaving = frozenset(
            name
            for name, since in self._since.items()
            if now - since > defaults.DRAIN_MOVE_AFTER and name in chain.names
        )
        if not leaving:
            return
        for name in leaving:
            # One try: if no other target has room, the stream ends where
            # it is, well before the instance is stopped.
            del self._since[name]
        others = frozenset(chain.names)
        for stage in chain.stages:
            if stage.target not in leaving:
                continue
            if not planner.choose(stage.first_layer, stage.end_layer, others):
                return
        raise ChainLost("the instance leaves", leaving, leaving)
