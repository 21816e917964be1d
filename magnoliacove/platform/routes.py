"""Decoding of the operator's configuration into the route table."""

from typing import Any

from magnoliacove import errors
from magnoliacove.configuration import routes
from magnoliacove.platform.fields import Fields

__all__ = ["CONFIGURATION", "read_routes"]

# Kind and name of the object that contains the configuration.
CONFIGURATION = ("config", "main")
_IDEMPOTENT, _NON_IDEMPOTENT, _STREAMING = (
    "idempotent",
    "non_idempotent",
    "streaming",
)
# Milliseconds; the gap objective of a route that sets none.
_DEFAULT_GAP_OBJECTIVE_MS = 1000.0


def read_routes(spec: Any) -> routes.RouteTable:
    """Decode one version of the configuration.

    :raises magnoliacove.errors.ProtocolError: if a field is missing or has
        an invalid value; the message names the field.
    """
    fields = Fields(spec, "the configuration")
    decoded = tuple(_read_route(item) for item in fields.objects("routes"))
    services = (_read_service(item) for item in fields.objects("services"))
    accounts = None
    if fields.has("tenants"):
        accounts = {
            key: account
            for item in fields.objects("tenants")
            for key, account in _read_account(item)
        }
    return routes.RouteTable(
        fields.integer("version"),
        decoded,
        {service.name: service for service in services},
        _read_limits(fields.object("limits")),
        accounts,
    )


def _read_route(fields: Fields) -> routes.Route:
    kind = fields.text("kind")
    if kind not in (_IDEMPOTENT, _NON_IDEMPOTENT, _STREAMING):
        raise errors.ProtocolError(
            f"{fields.where} has the unknown kind {kind!r}; this release "
            "must be upgraded before such a route is used"
        )
    shares = tuple(
        routes.ServiceShare(item.text("service"), item.number("weight"))
        for item in fields.objects("traffic_split")
        if item.number("weight") > 0
    )
    return routes.Route(
        name=fields.text("name"),
        host=fields.text("host"),
        path_prefix=fields.text("path_prefix"),
        idempotent=kind == _IDEMPOTENT,
        streaming=kind == _STREAMING,
        resumable=fields.flag("resumable"),
        timeout=fields.seconds("timeout_ms"),
        latency_objective=fields.seconds("target_latency_ms", 1000),
        gap_objective=fields.seconds(
            "target_gap_ms", _DEFAULT_GAP_OBJECTIVE_MS
        ),
        priority=fields.integer("priority", 5),
        max_attempts=max(1, fields.integer("max_attempts", 1)),
        public=fields.flag("public"),
        shares=shares or (routes.ServiceShare(fields.text("service"), 1.0),),
    )


def _read_account(fields: Fields) -> list[tuple[str, routes.Account]]:
    priority = fields.integer("priority") if fields.has("priority") else None
    account = routes.Account(fields.text("name"), priority)
    return [(key, account) for key in fields.texts("api_keys")]


def _read_service(fields: Fields) -> routes.ServiceSpec:
    engine = fields.object("engine")
    layered = engine is not None and engine.has("layers")
    return routes.ServiceSpec(
        name=fields.text("name"),
        health_path=fields.text("health_path", "/health"),
        max_connections=fields.integer("max_connections", 64),
        model=_read_model(engine) if engine and layered else None,
    )


def _read_model(fields: Fields) -> routes.ModelShape:
    models = fields.objects("models")
    usual = fields.object("usual")
    # Bytes; the memory of one token in all layers together.
    token_bytes = fields.number("kv_token_bytes")
    return routes.ModelShape(
        layers=fields.integer("layers"),
        layer_mb=fields.number("layer_mb"),
        token_mb=token_bytes / 1e6,
        step=fields.seconds("step_ms"),
        step_per_request=fields.seconds("per_seq_ms", 0),
        # Milliseconds per 1,000 tokens, although the name omits the unit.
        step_per_kilotoken=fields.seconds("context_per_k", 0),
        prefill_per_second=fields.number("read_per_s"),
        hop_bytes=fields.number("activation_bytes", 0),
        # The link between data centres, not an engine's own link.
        link_mbps=fields.number("pipe_mbps", 0),
        load=max([m.number("load_time_s", 0) for m in models] or [0.0]),
        parallel_loads=max(1, fields.integer("loads_at_once", 6)),
        usual_prompt=usual.number("prompt", 500) if usual else 500,
        usual_answer=usual.number("answer", 100) if usual else 100,
        slots=fields.integer("slots", 64),
        prefill_chunk=max(1.0, fields.number("chunk", 512)),
        # The number of token steps in one pass over all requests, not a
        # distance as the name suggests.
        steps_per_pass=max(1, fields.integer("stride", 1)),
        accelerators={
            kind.name: kind
            for kind in map(_read_accelerator, fields.objects("kinds"))
        },
    )


def _read_accelerator(fields: Fields) -> routes.Accelerator:
    return routes.Accelerator(
        name=fields.text("name"),
        memory_mb=fields.number("mb"),
        step_factor=fields.number("pace", 1),
        prefill_factor=fields.number("read_x", 1),
    )


def _read_limits(fields: Fields | None) -> routes.CallerLimits:
    if fields is None:
        return routes.CallerLimits()
    return routes.CallerLimits(
        header_bytes=fields.integer("max_header_bytes", 16_384),
        body_bytes=fields.integer("max_body_bytes", 4 * 1024 * 1024),
        header_timeout=fields.seconds("header_timeout_ms", 3000),
        idle_timeout=fields.seconds("idle_timeout_ms", 15_000),
    )
