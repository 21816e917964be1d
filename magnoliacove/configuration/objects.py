"""The objects that operators configure, from data centres to targets.

Each kind is a frozen data class that checks its own values; the document
that contains the objects checks the references between them.
"""

from collections.abc import Mapping
from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import fields
import hashlib
import re
from typing import Any
from typing import ClassVar
from typing import TypeAlias

from magnoliacove import defaults
from magnoliacove import errors

__all__ = [
    "KINDS",
    "ClientAccount",
    "ConfigurationObject",
    "DataCentre",
    "Pipeline",
    "Service",
    "Target",
    "hash_key",
    "make_object",
]

_NAME = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")


def hash_key(key: str) -> str:
    """Return the hash that is stored instead of a caller's API key."""
    return hashlib.sha256(key.encode()).hexdigest()


def _require(condition: bool, message: str) -> None:
    if not condition:
        raise errors.UserError(message)


def _check_name(kind: str, name: str) -> None:
    _require(
        _NAME.fullmatch(name) is not None,
        f"{kind} name {name!r} is not allowed; use 1 to 63 lower-case "
        "letters, digits and inner hyphens",
    )


@dataclass(frozen=True)
class DataCentre:
    """A location whose instances may fail together."""

    kind: ClassVar[str] = "data_centre"
    name: str
    region: str

    def __post_init__(self) -> None:
        _check_name(self.kind, self.name)
        _check_name("region", self.region)


@dataclass(frozen=True)
class Service:
    """A model or a plain service.

    :param form: ``model`` or ``plain``.
    :param layers: number of layers of a model; 0 for a plain service.
    :param priority: requests with a higher value are served first under
        overload.
    :param deadline: seconds that a request may take.
    :param non_idempotent: requests that run at most once, each given as a
        method and a path prefix such as ``POST /bids``; ``*`` is any method.
    """

    kind: ClassVar[str] = "service"
    name: str
    form: str
    layers: int = 0
    priority: int = 0
    deadline: float = defaults.REQUEST_DEADLINE
    non_idempotent: tuple[str, ...] = ()

    def __post_init__(self) -> None:
        _check_name(self.kind, self.name)
        _require(
            self.form in ("model", "plain"),
            f"service {self.name}: form {self.form!r} is not known; use "
            "model or plain",
        )
        _require(
            (self.layers > 0) == (self.form == "model"),
            f"service {self.name}: a model needs --layers above 0 and a "
            "plain service has none",
        )
        _require(
            0 < self.deadline <= 3600,
            f"service {self.name}: deadline must lie between 0 and 3600 s",
        )
        for rule in self.non_idempotent:
            _require(
                re.fullmatch(r"(\*|[A-Z]+) /\S*", rule) is not None,
                f"service {self.name}: rule {rule!r} is not understood; "
                "write a method and a path prefix, such as 'POST /bids'",
            )

    def is_idempotent(self, method: str, path: str) -> bool:
        """Return whether a request may run more than once."""
        for rule in self.non_idempotent:
            verb, _, prefix = rule.partition(" ")
            if verb in ("*", method) and path.startswith(prefix):
                return False
        return True


@dataclass(frozen=True)
class ClientAccount:
    """An account for which requests are served and counted.

    :param key_hashes: SHA-256 of each API key, in hexadecimal.
    :param weight: the account's relative share under overload.
    :param requests_per_second: a limit over all entries; 0 for no limit.
    :param services: the services that it may use; empty for all.
    """

    kind: ClassVar[str] = "client_account"
    name: str
    key_hashes: tuple[str, ...] = ()
    weight: float = 1.0
    requests_per_second: float = 0.0
    services: tuple[str, ...] = ()

    def __post_init__(self) -> None:
        _check_name(self.kind, self.name)
        _require(
            0 < self.weight <= 1000,
            f"client account {self.name}: weight must lie above 0 and at "
            "most at 1000",
        )
        _require(
            self.requests_per_second >= 0,
            f"client account {self.name}: requests_per_second cannot be "
            "negative; use 0 for no limit",
        )
        for item in self.key_hashes:
            _require(
                re.fullmatch(r"[0-9a-f]{64}", item) is not None,
                f"client account {self.name}: a key hash is 64 hexadecimal "
                "digits; let --api-key compute it",
            )


@dataclass(frozen=True)
class Pipeline:
    """A sequence of services that a request runs through."""

    kind: ClassVar[str] = "pipeline"
    name: str
    steps: tuple[str, ...]

    def __post_init__(self) -> None:
        _check_name(self.kind, self.name)
        _require(
            len(self.steps) > 0,
            f"pipeline {self.name} has no steps; name at least one service",
        )


@dataclass(frozen=True)
class Target:
    """A back end: one model engine or one instance of a plain service.

    :param accelerator: the kind of accelerator, in free form.
    :param first_layer: the first layer that a model engine serves.
    :param end_layer: one past the last layer; 0 for a plain service.
    :param state: ``active`` or ``draining``.
    :param checks_orders: whether the engine itself refuses an order with an
        outdated fencing token.
    """

    kind: ClassVar[str] = "target"
    name: str
    service: str
    data_centre: str
    accelerator: str = ""
    first_layer: int = 0
    end_layer: int = 0
    state: str = "active"
    checks_orders: bool = False

    def __post_init__(self) -> None:
        _check_name(self.kind, self.name)
        _require(
            0 <= self.first_layer <= self.end_layer,
            f"target {self.name}: layers {self.first_layer} to "
            f"{self.end_layer} are no range; write --layers 0-16",
        )
        _require(
            self.state in ("active", "draining"),
            f"target {self.name}: state {self.state!r} is not known; use "
            "active or draining",
        )


ConfigurationObject: TypeAlias = (
    DataCentre | Service | ClientAccount | Pipeline | Target
)
KINDS: dict[str, type] = {
    kind.kind: kind
    for kind in (DataCentre, Service, ClientAccount, Pipeline, Target)
}


def make_object(kind: str, values: Mapping[str, Any]) -> ConfigurationObject:
    """Build a checked object from plain values.

    :raises magnoliacove.errors.UserError: if the kind or a value is
        invalid; the message names the mistake.
    """
    if kind not in KINDS:
        raise errors.UserError(
            f"kind {kind!r} is not known; use one of {', '.join(KINDS)}"
        )
    known = {f.name: f for f in fields(KINDS[kind])}
    unknown = sorted(set(values) - set(known))
    if unknown:
        raise errors.UserError(
            f"{kind} has no field {unknown[0]!r}; it has {', '.join(known)}"
        )
    arguments = {
        name: tuple(value) if isinstance(value, list) else value
        for name, value in values.items()
    }
    try:
        return KINDS[kind](**arguments)
    except TypeError as exc:
        raise errors.UserError(
            f"{kind} is incomplete or has a value of the wrong type: {exc}"
        ) from exc


def to_values(item: ConfigurationObject) -> dict[str, Any]:
    """Return an object's plain values without those equal to defaults."""
    values = {}
    defaults_of = {f.name: f.default for f in fields(item)}
    for name, value in asdict(item).items():
        if value != defaults_of[name]:
            values[name] = list(value) if isinstance(value, tuple) else value
    return values
