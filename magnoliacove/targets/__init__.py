"""Clients of the model engines and plain services beside agents."""

from magnoliacove.targets.engine import Engine
from magnoliacove.targets.engine import EngineError
from magnoliacove.targets.engine import EngineLoad
from magnoliacove.targets.engine import HttpEngine
from magnoliacove.targets.engine import StepInput
from magnoliacove.targets.engine import StepOutput
from magnoliacove.targets.plain import HttpPlainTarget
from magnoliacove.targets.plain import PlainAnswer
from magnoliacove.targets.plain import PlainTarget

__all__ = [
    "Engine",
    "EngineError",
    "EngineLoad",
    "HttpEngine",
    "HttpPlainTarget",
    "PlainAnswer",
    "PlainTarget",
    "StepInput",
    "StepOutput",
]
