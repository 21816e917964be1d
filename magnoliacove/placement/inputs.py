"""What the placement controller reads, and what it reports to."""

from collections.abc import Callable
from dataclasses import dataclass

from magnoliacove.configuration.routes import ModelShape
from magnoliacove.directory.engine_status import EngineStatuses
from magnoliacove.directory.health import Health
from magnoliacove.directory.targets import TargetList
from magnoliacove.gateway.engines import EngineCalls
from magnoliacove.limits.load import LoadBook
from magnoliacove.limits.permits import Permits
from magnoliacove.timeline import Recorder

__all__ = ["ControllerInputs"]


@dataclass(frozen=True)
class ControllerInputs:
    """What the controller reads, and what it reports to.

    :param list_models: returns the services that run on engines, by name.
    :param is_settled: whether traffic has begun, so that plans do not wait
        for a stable target list.
    :param publish_status: called when the status of an engine has changed.
    """

    targets: TargetList
    health: Health
    engine_statuses: EngineStatuses
    loads: LoadBook
    permits: Permits
    calls: EngineCalls
    recorder: Recorder
    list_models: Callable[[], dict[str, ModelShape]]
    is_settled: Callable[[], bool]
    publish_status: Callable[[], None]
