"""What an entry serves to callers: routes, accounts and model shapes.

A table is one whole version of the configuration.  It is built once and
never changed, so a request that began under one version ends under it.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
import random

__all__ = [
    "Accelerator",
    "Account",
    "CallerLimits",
    "ModelShape",
    "Route",
    "RouteTable",
    "ServiceShare",
    "ServiceSpec",
]


@dataclass(frozen=True)
class ServiceShare:
    """A part of a route's requests, in proportion to its weight."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """Where requests of one host and path prefix go; times in seconds.

    :param idempotent: a request may run more than once.
    :param streaming: the answer is a series of events.
    :param resumable: a broken stream may go on at another target.
    :param timeout: the longest time that a caller is kept waiting.
    :param latency_objective: until the answer, or its first event.
    :param gap_objective: the longest pause between two events.
    :param priority: 0 goes first.
    :param max_attempts: the most targets that may run one request.
    :param public: served without an API key.
    """

    name: str
    host: str
    path_prefix: str
    idempotent: bool
    streaming: bool
    resumable: bool
    timeout: float
    latency_objective: float
    gap_objective: float
    priority: int
    max_attempts: int
    public: bool
    shares: tuple[ServiceShare, ...]

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run may be sent once more."""
        return self.idempotent or (self.streaming and self.resumable)

    def choose_service(self, rng: random.Random) -> str:
        """Return a service, each in proportion to its weight."""
        if len(self.shares) == 1:
            return self.shares[0].service
        weights = [share.weight for share in self.shares]
        return rng.choices(self.shares, weights)[0].service


@dataclass(frozen=True)
class Account:
    """The client account that an API key belongs to.

    :param priority: goes before the route's priority when set.
    """

    name: str
    priority: int | None


@dataclass(frozen=True)
class Accelerator:
    """One kind of accelerator.

    :param memory_mb: for layers and for requests.
    :param step_factor: how many times longer a token step takes.
    :param prefill_factor: how many times longer reading a prompt takes.
    """

    name: str
    memory_mb: float
    step_factor: float
    prefill_factor: float


@dataclass(frozen=True)
class ModelShape:
    """What a model's engines do and hold; times in seconds.

    Step and prefill times are those of an accelerator of factor 1 that
    runs all layers.

    :param layers: how many layers the model has.
    :param layer_mb: the memory of one layer's weights.
    :param token_mb: the memory of one token in all layers together.
    :param step: a token step, whatever runs in it.
    :param step_per_request: added for each request that is writing.
    :param step_per_kilotoken: added for each 1,000 tokens of context.
    :param prefill_per_second: prompt tokens read in a second.
    :param prefill_chunk: prompt tokens read in one pass at most.
    :param steps_per_pass: token steps of each pass while requests write.
    :param hop_bytes: what one token carries from an engine to the next.
    :param link_mbps: the pipe between data centres that all share.
    :param load: loading all layers onto one engine.
    :param parallel_loads: more loads than these at a time take longer.
    :param usual_prompt: mean tokens of a prompt.
    :param usual_answer: mean tokens of an answer.
    :param slots: requests that an engine takes as the first of a path.
    """

    layers: int
    layer_mb: float
    token_mb: float
    step: float
    step_per_request: float
    step_per_kilotoken: float
    prefill_per_second: float
    hop_bytes: float
    link_mbps: float
    load: float
    parallel_loads: int
    usual_prompt: float
    usual_answer: float
    slots: int
    prefill_chunk: float = 512.0
    steps_per_pass: int = 1
    # Left out of the hash, which a mapping has none of.
    accelerators: Mapping[str, Accelerator] = field(
        default_factory=dict, hash=False
    )

    @property
    def usual_tokens(self) -> float:
        """Tokens that a usual request holds at its end."""
        return self.usual_prompt + self.usual_answer

    def compute_capacity(self, accelerator: str, layers: int) -> float:
        """Return token-layers of memory left beside some layers.

        A token-layer is the memory of one token in one layer.
        """
        kind = self.accelerators[accelerator]
        left = kind.memory_mb - layers * self.layer_mb
        return max(0.0, left) / (self.token_mb / self.layers)


@dataclass(frozen=True)
class ServiceSpec:
    """A service behind the routes.

    :param max_connections: what one target takes from all callers.
    :param model: the shape of a model that runs on chains of engines, or
        None for a plain service.
    """

    name: str
    health_path: str
    max_connections: int
    model: ModelShape | None


@dataclass(frozen=True)
class CallerLimits:
    """What a caller may send; sizes in bytes, times in seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 4 * 1024 * 1024
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


class RouteTable:
    """One version of the configuration, as requests need it."""

    def __init__(
        self,
        version: int,
        routes: tuple[Route, ...],
        services: Mapping[str, ServiceSpec],
        limits: CallerLimits,
        accounts: Mapping[str, Account] | None,
    ) -> None:
        self.version = version
        self.routes = routes
        self.services = services
        self.limits = limits
        self._accounts = accounts
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            prefixes = self._by_host.setdefault(route.host.lower(), {})
            prefixes[route.path_prefix] = route

    @property
    def needs_keys(self) -> bool:
        """Whether requests carry API keys at all."""
        return self._accounts is not None

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins the path.

        :param path: as the caller sent it, without its query.
        """
        prefixes = self._by_host.get(host.lower())
        if prefixes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            found = prefixes.get(path[: end + 1])
            if found is not None:
                return found
        return None

    def find_account(self, key: str) -> Account | None:
        """Return the account that an API key belongs to, or None."""
        return (self._accounts or {}).get(key)
