"""Routing: what is known of targets and links, and the choice of chains."""

from magnoliacove.routing.chains import Chain
from magnoliacove.routing.chains import ChainChooser
from magnoliacove.routing.chains import ChainStage
from magnoliacove.routing.chains import ExpectedDelay
from magnoliacove.routing.chains import LeastLoad
from magnoliacove.routing.chains import RandomChoice
from magnoliacove.routing.chains import RoundRobin
from magnoliacove.routing.chains import StageOption
from magnoliacove.routing.chains import TwoChoices
from magnoliacove.routing.chains import list_segments
from magnoliacove.routing.estimates import Estimates
from magnoliacove.routing.estimates import TargetEstimate
from magnoliacove.routing.owners import choose_owner

__all__ = [
    "Chain",
    "ChainChooser",
    "ChainStage",
    "Estimates",
    "ExpectedDelay",
    "LeastLoad",
    "RandomChoice",
    "RoundRobin",
    "StageOption",
    "TargetEstimate",
    "TwoChoices",
    "choose_owner",
    "list_segments",
]
