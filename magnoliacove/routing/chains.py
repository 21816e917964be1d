"""Choice of a complete chain of stages for a stream.

The targets of a model serve ranges of layers that may overlap.  A chain
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
    """A target that could serve a range of layers.

    :param end_layer: one past the last layer.
    """

    target: str
    first_layer: int
    end_layer: int


@dataclass(frozen=True)
class ChainStage:
    """A target and the layers that it serves in one chain.

    :param end_layer: one past the last layer.
    """

    target: str
    first_layer: int
    end_layer: int


Chain = tuple[ChainStage, ...]
_Segment = tuple[int, int]


class ChainChooser(Protocol):
    """Chooses the chain for a new stream, or for the failed part of one."""

    def choose(
        self,
        options: Sequence[StageOption],
        first_layer: int,
        end_layer: int,
        estimates: Estimates,
    ) -> Chain | None:
        """Return a chain over the layers, or None if a layer has no target."""


def list_segments(
    options: Sequence[StageOption], first_layer: int, end_layer: int
) -> dict[_Segment, list[StageOption]]:
    """Return the ranges between cuts, with the targets that cover each.

    A cut is a layer at which the range of a target begins or ends.  Ranges
    begin at the first layer or a cut, and end at a cut or the last layer.
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
    """The chain with the lowest expected cost over a random sample.

    The cost of a stage is the delay that one more stream there adds to all
    its streams, in proportion to the layers that it runs; the cost of a link
    is its delay.  For each range only a few targets, sampled at random, are
    compared, so that entries with the same outdated report do not all choose
    the same target.
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
        """Return a chain over the layers, or None if a layer has no target."""
        segments = list_segments(options, first_layer, end_layer)
        costs = {o.target: _stage_cost(o, estimates) for o in options}
        # The cheapest chain that ends at each cut, by its last target.
        best: dict[int, dict[str, tuple[float, Chain]]] = defaultdict(dict)
        best[first_layer][estimates.entry] = (0.0, ())
        for segment in sorted(segments):
            start, stop = segment
            if not best[start]:
                continue
            for option in self._sample_options(segments[segment]):
                share = (stop - start) / (
                    option.end_layer - option.first_layer
                )
                candidates = [
                    (
                        before + estimates.link_seconds(name, option.target),
                        path,
                    )
                    for name, (before, path) in best[start].items()
                    # A target serves at most one range of a stream.
                    if all(s.target != option.target for s in path)
                ]
                if not candidates:
                    continue
                cost, chain = min(candidates, key=lambda pair: pair[0])
                cost += costs[option.target] * share
                present = best[stop].get(option.target)
                if present is None or cost < present[0]:
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
            key=lambda pair: pair[0],
        )[1]

    def _sample_options(self, options: list[StageOption]) -> list[StageOption]:
        if len(options) <= self._sample:
            return options
        return self._rng.sample(options, self._sample)


def _stage_cost(option: StageOption, estimates: Estimates) -> float:
    estimate = estimates.target(option.target)
    penalty = estimate.penalty(estimates.read_time())
    return estimate.marginal_seconds() + penalty


# Baselines for comparison.  They choose each stage separately.


class _GreedyChooser:
    """Chooses stage by stage, each as long as its target's range allows."""

    def __init__(self, rng: random.Random | None = None) -> None:
        self._rng = rng or random.Random()

    def choose(
        self,
        options: Sequence[StageOption],
        first_layer: int,
        end_layer: int,
        estimates: Estimates,
    ) -> Chain | None:
        """Return a chain over the layers, or None if a layer has no target."""
        chain: list[ChainStage] = []
        at = first_layer
        while at < end_layer:
            usable = [o for o in options if o.first_layer <= at < o.end_layer]
            if not usable:
                return None
            option = self._pick(usable, estimates)
            stop = min(option.end_layer, end_layer)
            chain.append(ChainStage(option.target, at, stop))
            at = stop
        return tuple(chain)

    def _pick(
        self, options: list[StageOption], estimates: Estimates
    ) -> StageOption:
        raise NotImplementedError


class RandomChoice(_GreedyChooser):
    """Baseline: a random target."""

    def _pick(
        self, options: list[StageOption], estimates: Estimates
    ) -> StageOption:
        return self._rng.choice(options)


class RoundRobin(_GreedyChooser):
    """Baseline: each target in turn."""

    def __init__(self, rng: random.Random | None = None) -> None:
        super().__init__(rng)
        self._count = 0

    def _pick(
        self, options: list[StageOption], estimates: Estimates
    ) -> StageOption:
        self._count += 1
        return options[self._count % len(options)]


class LeastLoad(_GreedyChooser):
    """Baseline: the target with the lowest load in its last report."""

    def _pick(
        self, options: list[StageOption], estimates: Estimates
    ) -> StageOption:
        return min(options, key=lambda o: estimates.target(o.target).running)


class TwoChoices(_GreedyChooser):
    """Baseline: the less loaded of two randomly sampled targets."""

    def _pick(
        self, options: list[StageOption], estimates: Estimates
    ) -> StageOption:
        sampled = self._rng.sample(options, min(2, len(options)))
        return min(
            sampled, key=lambda o: estimates.target(o.target).expected_running
        )
