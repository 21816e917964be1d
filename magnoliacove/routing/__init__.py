"""Routing: estimates for targets and links, and the choice of chains."""

from typing import TYPE_CHECKING

from magnoliacove.lazy import export_lazily

if TYPE_CHECKING:
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
else:
    __getattr__ = export_lazily(
        __name__,
        {
            "Chain": "chains",
            "ChainChooser": "chains",
            "ChainStage": "chains",
            "ExpectedDelay": "chains",
            "LeastLoad": "chains",
            "RandomChoice": "chains",
            "RoundRobin": "chains",
            "StageOption": "chains",
            "TwoChoices": "chains",
            "list_segments": "chains",
            "Estimates": "estimates",
            "TargetEstimate": "estimates",
            "choose_owner": "owners",
        },
    )

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
