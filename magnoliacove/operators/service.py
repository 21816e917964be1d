"""The service of the operators' API, which every entry runs."""

from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
from dataclasses import fields
import os
from typing import Any

from connectrpc.code import Code
from connectrpc.errors import ConnectError
from returns.result import Failure
import trio

from magnoliacove import configuration
from magnoliacove import defaults
from magnoliacove import directory
from magnoliacove import errors
from magnoliacove import web
from magnoliacove import wire
from magnoliacove.agent.orders import ORDERS_LEASE
from magnoliacove.operators import conversion
from magnoliacove.operators.endpoints import make_application
from magnoliacove.operators.generated import operators_pb as pb
from magnoliacove.process import Process
from magnoliacove.routing import list_segments
from magnoliacove.wire import messages

__all__ = ["OperatorsApp"]

# Seconds to connect to an instance and to receive its hello.
_PROBE_TIMEOUT = 1.5
_MAX_CONCURRENT_PROBES = 64
# Seconds to wait for an agent's answer to an order.
_ORDER_TIMEOUT = 30.0


class OperatorsApp:
    """Serves operators over gRPC, gRPC-Web and plain JSON.

    :param keys: maps the SHA-256 of each operator's key, in hexadecimal, to
        the operator's name.
    """

    def __init__(
        self, process: Process, pool: Any, keys: Mapping[str, str]
    ) -> None:
        self._process = process
        self._pool = pool
        self._keys = keys
        self._journal = configuration.Journal(process.api)
        self._orders = directory.Lease(
            process.api,
            process.recorder,
            ORDERS_LEASE,
            f"{process.identity.name}/{process.incarnation}",
        )
        self._connect = make_application(self, defaults.MAX_REQUEST_BODY)

    async def app(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one request as an ASGI application."""
        if scope["type"] == "lifespan":
            await web.serve_lifespan(receive, send)
            return
        await self._connect(scope, receive, send)

    # Methods of the schema.

    async def apply(self, request: pb.ApplyRequest, ctx: Any, /) -> Any:
        """Apply operations atomically, as one new version."""
        operator = self._authenticate(ctx)
        process = self._process
        with _translate_errors():
            if not request.change_id:
                raise errors.UserError(
                    "the change has no change_id; set a new unique one, and "
                    "repeat it when you repeat the call"
                )
            operations = tuple(
                map(conversion.read_operation, request.operations)
            )
            result = await self._journal.commit(
                process.view.document,
                request.change_id,
                operator,
                process.recorder.clock.now,
                operations,
            )
            if isinstance(result, Failure):
                process.recorder.record(
                    "change-refused", why=str(result.failure())
                )
                raise result.failure()
        committed = result.unwrap()
        document, version = committed.document, committed.version
        process.view.adopt_document(document, f"operator {operator}")
        process.recorder.record(
            "change-accepted",
            why=f"operator {operator}",
            change=request.change_id,
            accepted=version,
        )
        await self._compact(document)
        return pb.ApplyResponse(
            version=version, already_applied=committed.repeated
        )

    async def plan(self, request: pb.ApplyRequest, ctx: Any, /) -> Any:
        """Return the changes that apply would make."""
        self._authenticate(ctx)
        with _translate_errors():
            document = await self._load()
            operations = tuple(
                map(conversion.read_operation, request.operations)
            )
            proposed = document.propose("plan", "", 0, operations)
            if isinstance(proposed, Failure):
                raise proposed.failure()
        changes = [_plan_operation(document, o) for o in operations]
        return pb.PlanResponse(version=document.version, changes=changes)

    async def read(self, request: pb.ReadRequest, ctx: Any, /) -> Any:
        """Return one object, or all objects of a kind."""
        self._authenticate(ctx)
        with _translate_errors():
            if request.kind not in configuration.KINDS:
                raise errors.UserError(
                    f"kind {request.kind!r} is not known; use one of "
                    f"{', '.join(configuration.KINDS)}"
                )
            document = await self._load()
            items = [
                conversion.write_item(entry.item, entry.version)
                for (kind, name), entry in sorted(document.held.items())
                if kind == request.kind and request.name in ("", name)
            ]
            if request.name and not items:
                raise errors.NotFoundError(
                    f"there is no {request.kind} {request.name}; list the "
                    f"names with 'magnoliacove list {request.kind}'"
                )
        return pb.ReadResponse(version=document.version, items=items)

    async def get_status(self, request: pb.StatusRequest, ctx: Any, /) -> Any:
        """Return the state of each instance and service, with versions."""
        self._authenticate(ctx)
        process = self._process
        instances = process.view.list_instances()
        states: list[pb.InstanceStatus] = []
        limit = trio.CapacityLimiter(_MAX_CONCURRENT_PROBES)
        async with trio.open_nursery() as nursery:
            for instance in instances:
                nursery.start_soon(self._probe, instance, limit, states)
        states.sort(key=lambda status: (status.role, status.name))
        return pb.StatusResponse(
            version=process.view.version,
            store_reachable=process.store.reachable,
            instances=states,
            services=list(self._describe_services()),
        )

    async def give_order(self, request: pb.OrderRequest, ctx: Any, /) -> Any:
        """Send an order to an engine while holding the lease for orders."""
        operator = self._authenticate(ctx)
        with _translate_errors():
            instance = self._process.view.find_instance(request.target)
            if instance is None:
                raise errors.NotFoundError(
                    f"target {request.target} has announced no agent; see "
                    "'magnoliacove status'"
                )
            if not await self._orders.try_acquire():
                raise errors.ConflictError(
                    f"{self._orders.holder} gives orders at this moment; "
                    "try again in a few seconds"
                )
            fence = self._orders.fence
            result = await wire.ask(
                self._process.network,
                instance.parsed_address,
                self._process.recorder.clock,
                self._process.make_hello,
                messages.Order(
                    os.urandom(16),
                    operator,
                    fence,
                    request.action,
                    request.argument,
                ),
                messages.OrderResult,
                _ORDER_TIMEOUT,
            )
            await self._orders.release()
            if result is None:
                raise errors.PlatformError(
                    f"the agent of {request.target} gave no answer; the "
                    "order may have been applied",
                    errors.Outcome.MAY_HAVE_RUN,
                )
        return pb.OrderResponse(
            applied=result.applied, reason=result.reason, fence=fence
        )

    # Helpers.

    def _authenticate(self, ctx: Any) -> str:
        credentials = ctx.request_headers.get("authorization", "")
        scheme, _, key = credentials.partition(" ")
        name = self._keys.get(configuration.hash_key(key.strip()))
        if scheme.lower() != "bearer" or name is None:
            raise ConnectError(
                Code.UNAUTHENTICATED,
                "the operator's key is missing or not known; set "
                "MAGNOLIACOVE_OPERATOR_KEY or --operator-key",
            )
        return name

    async def _load(self) -> configuration.Document:
        """Return the newest document, or during an outage the one in force."""
        process = self._process
        try:
            document = await self._journal.load(process.view.document)
        except errors.PlatformError:
            if not process.view.version:
                raise
            return process.view.document
        process.view.adopt_document(document, "the platform's store")
        return document

    async def _compact(self, document: configuration.Document) -> None:
        if document.version % defaults.CHECKPOINT_EVERY:
            return
        try:
            await self._journal.compact(document)
        except errors.Error as exc:
            # The next compaction, CHECKPOINT_EVERY versions later, makes up
            # for it; until then the journal is merely longer.
            self._process.recorder.record("compaction-failed", why=str(exc))

    async def _probe(
        self,
        instance: directory.Instance,
        limit: trio.CapacityLimiter,
        states: list[pb.InstanceStatus],
    ) -> None:
        process = self._process
        async with limit:
            if instance.name == process.identity.name:
                version: int | None = process.view.version
            else:
                version = await _ask_version(process, instance)
        states.append(
            pb.InstanceStatus(
                name=instance.name,
                role=instance.role,
                data_centre=instance.data_centre,
                address=instance.address,
                state=_describe_state(process, instance, version),
                configuration_version=version or 0,
            )
        )

    def _describe_services(self) -> Iterator[pb.ServiceStatus]:
        document = self._process.view.document
        targets = list(document.list_items(configuration.Target))
        for service in document.list_items(configuration.Service):
            options = self._pool.list_options(service.name)
            yield pb.ServiceStatus(
                name=service.name,
                form=service.form,
                targets=sum(t.service == service.name for t in targets),
                usable=len(options),
                served=_is_served(service, options),
            )


async def _ask_version(
    process: Process, instance: directory.Instance
) -> int | None:
    """Return the version in force at an instance, or None if no answer."""
    versions: list[int] = []

    def record_version(connection: wire.Connection) -> None:
        if connection.remote is not None:
            versions.append(connection.remote.configuration_version)
        connection.close()

    async def ignore(_: wire.Connection, message: messages.Message) -> None:
        return None

    with trio.move_on_after(_PROBE_TIMEOUT):
        try:
            stream = await process.network.connect(instance.parsed_address)
            await wire.Connection(
                stream, process.recorder.clock, process.make_hello
            ).run(ignore, record_version)
        except errors.Error:
            pass
    return versions[0] if versions else None


def _describe_state(
    process: Process, instance: directory.Instance, version: int | None
) -> str:
    if version is None:
        return "unreachable"
    return "leaving" if process.view.is_leaving(instance.name) else "live"


def _is_served(service: configuration.Service, options: list[Any]) -> bool:
    if service.form == "plain":
        return bool(options)
    # Boundaries between layers that usable targets can serve up to.
    reached = {0}
    segments = list_segments(options, 0, service.layers)
    for start, stop in sorted(segments):
        if start in reached:
            reached.add(stop)
    return service.layers in reached


def _plan_operation(
    document: configuration.Document,
    operation: configuration.Put | configuration.Removal,
) -> pb.PlannedChange:
    if isinstance(operation, configuration.Removal):
        return pb.PlannedChange(
            kind=operation.kind, name=operation.name, action="delete"
        )
    item = operation.item
    current = document.held.get((item.kind, item.name))
    changes = []
    for field in fields(item):
        after = getattr(item, field.name)
        before = getattr(current.item, field.name) if current else None
        if before != after:
            changes.append(
                pb.FieldChange(
                    name=field.name,
                    before="" if before is None else str(before),
                    after=str(after),
                )
            )
    action = "update" if current else "create"
    return pb.PlannedChange(
        kind=item.kind,
        name=item.name,
        action=action if changes else "none",
        fields=changes,
    )


@contextlib.contextmanager
def _translate_errors() -> Iterator[None]:
    try:
        yield
    except errors.ConflictError as exc:
        raise ConnectError(Code.ABORTED, str(exc)) from exc
    except errors.NotFoundError as exc:
        raise ConnectError(Code.NOT_FOUND, str(exc)) from exc
    except errors.UserError as exc:
        raise ConnectError(Code.INVALID_ARGUMENT, str(exc)) from exc
    except errors.PlatformError as exc:
        not_applied = exc.outcome is errors.Outcome.NOT_RUN
        text = "not applied" if not_applied else "may have been applied"
        code = Code.UNAVAILABLE if not_applied else Code.UNKNOWN
        raise ConnectError(code, f"{exc} ({text})") from exc
    except errors.ProtocolError as exc:
        raise ConnectError(Code.INTERNAL, str(exc)) from exc
