"""The routes, accounts and model shapes that gateways serve callers by.

A table is one complete version of the configuration.  It is immutable, so a
request that starts under one version finishes under the same version.
"""

import bisect
from collections.abc import Iterable
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
    """A service's share of a route's requests, proportional to its weight."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """The route for one host and path prefix; times in seconds.

    :param idempotent: whether a request may run more than once.
    :param streaming: whether the answer is a series of events.
    :param resumable: whether an interrupted stream may continue at another
        target.
    :param timeout: maximum time that a caller waits.
    :param latency_objective: desired time until the answer or its first
        event.
    :param gap_objective: longest desired pause between two events.
    :param priority: 0 is the most urgent.
    :param max_attempts: maximum number of targets that may run a request.
    :param public: whether requests need no API key.
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
        """Whether a request that may have run may be sent again."""
        return self.idempotent or (self.streaming and self.resumable)

    def choose_service(self, rng: random.Random) -> str:
        """Return a random service with a probability given by its weight."""
        if len(self.shares) == 1:
            return self.shares[0].service
        weights = [share.weight for share in self.shares]
        return rng.choices(self.shares, weights)[0].service


@dataclass(frozen=True)
class Account:
    """The client account that an API key belongs to.

    :param priority: precedes the priority of a route; None if it has none.
    """

    name: str
    priority: int | None


@dataclass(frozen=True)
class Accelerator:
    """One kind of accelerator.

    :param memory_mb: memory for both layers and requests.
    :param step_factor: factor on the duration of a token step.
    :param prefill_factor: factor on the duration of reading a prompt.
    """

    name: str
    memory_mb: float
    step_factor: float
    prefill_factor: float


@dataclass(frozen=True)
class ModelShape:
    """A model's memory needs and timing; times in seconds.

    Step and prefill times apply to an accelerator with factor 1 that runs
    all layers.

    :param layers: number of layers of the model.
    :param layer_mb: memory of one layer's weights.
    :param token_mb: memory of one token in all layers together.
    :param step: base duration of a token step.
    :param step_per_request: additional duration of a step for each request
        that generates tokens.
    :param step_per_kilotoken: additional duration of a step for each 1,000
        tokens of context.
    :param prefill_per_second: prompt tokens read per second.
    :param prefill_chunk: maximum number of prompt tokens read in one pass.
    :param steps_per_pass: token steps in each pass while requests generate
        tokens.
    :param hop_bytes: bytes sent from one engine to the next for one token.
    :param link_mbps: bandwidth of the link between data centres, which all
        requests share.
    :param load: duration of loading all layers onto one engine.
    :param parallel_loads: number of concurrent loads above which each load
        takes longer.
    :param usual_prompt: mean length of a prompt in tokens.
    :param usual_answer: mean length of an answer in tokens.
    :param slots: requests that an engine accepts as the first of a path.
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
    # Excluded from the hash, because a mapping is not hashable.
    accelerators: Mapping[str, Accelerator] = field(
        default_factory=dict, hash=False
    )

    @property
    def usual_tokens(self) -> float:
        """Mean number of tokens of a request at its end."""
        return self.usual_prompt + self.usual_answer

    def compute_capacity(self, accelerator: str, layers: int) -> float:
        """Return the memory for requests beside loaded layers.

        :param accelerator: the kind of accelerator.
        :param layers: number of loaded layers.
        :returns: token-layers; one is the memory of one token in one layer.
        """
        kind = self.accelerators[accelerator]
        free_mb = kind.memory_mb - layers * self.layer_mb
        return max(0.0, free_mb) / (self.token_mb / self.layers)


@dataclass(frozen=True)
class ServiceSpec:
    """A service behind the routes.

    :param max_connections: number of connections that one target accepts
        from all callers together.
    :param model: the shape of a model that runs on paths of engines, or
        None for a plain service.
    """

    name: str
    health_path: str
    max_connections: int
    model: ModelShape | None


@dataclass(frozen=True)
class CallerLimits:
    """Limits for a caller's request; sizes in bytes, times in seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 4 * 1024 * 1024
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclass(frozen=True, order=True)
class _Urgency:
    """What decides which of two requests comes first; 0 is the most urgent.

    :param account: the priority of the client account, or that of the route
        where the account has none.
    """

    account: int
    route: int


class RouteTable:
    """One version of the configuration, indexed for requests."""

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
        self._urgencies = self._collect_urgencies(routes)
        streaming = [route for route in routes if route.streaming]
        self._stream_urgencies = self._collect_urgencies(streaming)

    def differs_in_urgency(self, service: str) -> bool:
        """Return whether streams of one service differ in urgency.

        Either its routes do, or client accounts have urgencies of their own.
        """
        return len(self._stream_urgencies.get(service, ())) > 1

    def rank_urgency(
        self, service: str, route: Route, account: Account | None = None
    ) -> int:
        """Return a request's rank among those of its service, 0 first.

        The priority of the client account precedes that of the route.  Among
        accounts of equal priority, mostly all of them, the route decides.

        :param account: None for a request without one.
        """
        urgencies = self._urgencies.get(service, [])
        return bisect.bisect_left(urgencies, _read_urgency(route, account))

    @property
    def needs_keys(self) -> bool:
        """Whether the configuration defines API keys."""
        return self._accounts is not None

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix, or None.

        :param path: the path that the caller sent, without the query.
        """
        prefixes = self._by_host.get(host.lower())
        if prefixes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def find_account(self, key: str) -> Account | None:
        """Return the account that an API key belongs to, or None."""
        return (self._accounts or {}).get(key)

    def _collect_urgencies(
        self, routes: Iterable[Route]
    ) -> dict[str, list[_Urgency]]:
        """Return the urgencies that the requests of each service can have.

        :returns: sorted, the most urgent first.
        """
        accounts = (self._accounts or {}).values()
        # Many accounts share a few priorities, which alone matter here.
        by_priority = {account.priority: account for account in accounts}
        found: dict[str, set[_Urgency]] = {}
        for route in routes:
            urgencies = {
                _read_urgency(route, account)
                for account in by_priority.values()
            }
            if route.public or not by_priority:
                urgencies.add(_read_urgency(route, None))
            for share in route.shares:
                found.setdefault(share.service, set()).update(urgencies)
        return {service: sorted(items) for service, items in found.items()}


def _read_urgency(route: Route, account: Account | None) -> _Urgency:
    """Return the urgency of a route's requests from a client account."""
    if account is None or account.priority is None:
        return _Urgency(route.priority, route.priority)
    return _Urgency(account.priority, route.priority)
