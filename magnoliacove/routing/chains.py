"""Choosing a whole chain of stages for a stream.

The targets of a model hold ranges of layers that may overlap.  A chain
covers all layers once, in order; a target may serve a part of its range.
"""

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass
import itertools
import random
from typing import Protocol

from magnoliacove.routing.estimates import Estimates

__all__ = [
    "Chain",
    "ChainChooser",
    "ChainStage",
    "ExpectedDelay",
    "LeastLoad",
    "RandomChoice",
    "RoundRobin",
    "StageOption",
    "TwoChoices",
]


@dataclass(frozen=True)
class StageOption:
    """A target that could serve a range of layers."""

    target: str
    first_layer: int
    end_layer: int


@dataclass(frozen=True)
class ChainStage:
    """A target and the layers that it serves in one chain."""

    target: str
    first_layer: int
    end_layer: int


Chain = tuple[ChainStage, ...]
_Segment = tuple[int, int]


class ChainChooser(Protocol):
    """Chooses the chain for a new stream, or for what a stream lost."""

    def choose(
        self,
        options: Sequence[StageOption],
        first_layer: int,
        end_layer: int,
        estimates: Estimates,
    ) -> Chain | None:
        """Return a chain over the layers, or None when they have a gap."""


def list_segments(
    options: Sequence[StageOption], first_layer: int, end_layer: int
) -> dict[_Segment, list[StageOption]]:
    """Return the ranges between cuts, with the targets that hold each.

    Cuts are where some target begins or ends; only ranges that begin at
    the first layer or a cut, and end at a cut or the last layer, matter.
    """
    cuts = {first_layer, end_layer}
    for option in options:
        cuts.update((option.first_layer, option.end_layer))
    ordered = sorted(c for c in cuts if first_layer <= c <= end_layer)
    segments: dict[_Segment, list[StageOption]] = defaultdict(list)
    for option in options:
        inside = [
            c for c in ordered if option.first_layer <= c <= option.end_layer
        ]
        for start, stop in itertools.combinations(inside, 2):
            segments[(start, stop)].append(option)
    return segments


class ExpectedDelay:
    """Our choice: the chain with the least expected cost over a sample.

    A stage costs what one more stream there costs everybody, in proportion
    to the layers it runs; a link costs its delay.  For each range only a
    few targets, drawn at random, are weighed, so entries that see the same
    old report do not all run to the same target.
    """

    def __init__(
        self, sample: int = 6, rng: random.Random | None = None
    ) -> None:
        self._sample = sample
        self._rng = rng or random.Random()

    def choose(
        self,
        options: Sequence[StageOption],
        first_layer: int,
        end_layer: int,
        estimates: Estimates,
    ) -> Chain | None:
        """Return a chain over the layers, or None when they have a gap."""
        segments = list_segments(options, first_layer, end_layer)
        costs = {o.target: _stage_cost(o, estimates) for o in options}
        # The best way to end at a cut, for each last target.
        best: dict[int, dict[str, tuple[float, Chain]]] = defaultdict(dict)
        best[first_layer][estimates.entry] = (0.0, ())
        for segment in sorted(segments):
            start, stop = segment
            if not best[start]:
                continue
            for option in self._draw(segments[segment]):
                share = (stop - start) / (
                    option.end_layer - option.first_layer
                )
                ways = [
                    (
                        before + estimates.link_seconds(name, option.target),
                        path,
                    )
                    for name, (before, path) in best[start].items()
                    # A target serves one range of a stream.
                    if all(s.target != option.target for s in path)
                ]
                if not ways:
                    continue
                cost, chain = min(ways, key=lambda way: way[0])
                cost += costs[option.target] * share
                known = best[stop].get(option.target)
                if known is None or cost < known[0]:
                    stage = ChainStage(option.target, start, stop)
                    best[stop][option.target] = (cost, (*chain, stage))
        ends = best[end_layer]
        if not ends:
            return None
        return min(
            (
                (cost + estimates.link_seconds(name, estimates.entry), chain)
                for name, (cost, chain) in ends.items()
            ),
            key=lambda way: way[0],
        )[1]

    def _draw(self, options: list[StageOption]) -> list[StageOption]:
        if len(options) <= self._sample:
            return options
        return self._rng.sample(options, self._sample)


def _stage_cost(option: StageOption, estimates: Estimates) -> float:
    estimate = estimates.target(option.target)
    penalty = estimate.penalty(estimates.read_time())
    return estimate.marginal_seconds() + penalty


# Baselines.  They fix the cuts first and choose each stage by itself.


class _Greedy:
    """Goes from cut to cut with the longest ranges and picks per stage."""

    def __init__(self, rng: random.Random | None = None) -> None:
        self._rng = rng or random.Random()

    def choose(
        self,
        options: Sequence[StageOption],
        first_layer: int,
        end_layer: int,
        estimates: Estimates,
    ) -> Chain | None:
        """Return a chain over the layers, or None when they have a gap."""
        chain: list[ChainStage] = []
        at = first_layer
        while at < end_layer:
            here = [o for o in options if o.first_layer <= at < o.end_layer]
            if not here:
                return None
            option = self._pick(here, estimates)
            stop = min(option.end_layer, end_layer)
            chain.append(ChainStage(option.target, at, stop))
            at = stop
        return tuple(chain)

    def _pick(
        self, options: list[StageOption], estimates: Estimates
    ) -> StageOption:
        raise NotImplementedError


class RandomChoice(_Greedy):
    """Baseline: any target."""

    def _pick(
        self, options: list[StageOption], estimates: Estimates
    ) -> StageOption:
        return self._rng.choice(options)


class RoundRobin(_Greedy):
    """Baseline: each target in turn."""

    def __init__(self, rng: random.Random | None = None) -> None:
        super().__init__(rng)
        self._count = 0

    def _pick(
        self, options: list[StageOption], estimates: Estimates
    ) -> StageOption:
        self._count += 1
        return options[self._count % len(options)]


class LeastLoad(_Greedy):
    """Baseline: the target with the least load in its last report."""

    def _pick(
        self, options: list[StageOption], estimates: Estimates
    ) -> StageOption:
        return min(options, key=lambda o: estimates.target(o.target).running)


class TwoChoices(_Greedy):
    """Baseline: the less loaded of two targets drawn at random."""

    def _pick(
        self, options: list[StageOption], estimates: Estimates
    ) -> StageOption:
        drawn = self._rng.sample(options, min(2, len(options)))
        return min(
            drawn, key=lambda o: estimates.target(o.target).expected_running
        )
