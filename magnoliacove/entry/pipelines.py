"""Pipelines: services that process one request in sequence."""

from collections.abc import Callable

from magnoliacove import configuration
from magnoliacove import defaults
from magnoliacove import errors
from magnoliacove.directory import View
from magnoliacove.entry import openai
from magnoliacove.entry.exchange import Exchange
from magnoliacove.entry.exchange import run_while_connected
from magnoliacove.entry.service_runner import ServiceRunner
from magnoliacove.limits.caller_memory import Allocation
from magnoliacove.limits.caller_memory import hold_part
from magnoliacove.wire import messages

__all__ = ["Pipelines"]


class Pipelines:
    """Serves requests to pipelines.

    :param find_service: returns an account's service by name and form.
    """

    def __init__(
        self,
        view: View,
        runner: ServiceRunner,
        find_service: Callable[
            [configuration.ClientAccount, str, str], configuration.Service
        ],
    ) -> None:
        self._view = view
        self._runner = runner
        self._find_service = find_service

    async def serve(
        self,
        name: str,
        exchange: Exchange,
        account: configuration.ClientAccount,
    ) -> None:
        """Run a pipeline's services in order, each on the previous output.

        :raises magnoliacove.errors.RequestError: when there is no such
            pipeline, or a step fails.
        """
        pipeline = self._view.document.find(configuration.Pipeline, name)
        if pipeline is None:
            raise errors.RequestError(
                "not_found", f"there is no pipeline {name!r}", status=404
            )
        # All services are looked up before any runs, so that no step runs
        # in vain for an account that must not use a later one.
        services = [self._find_step(account, step) for step in pipeline.steps]
        value = await exchange.read_body()
        self._runner.require_time(sum(s.deadline for s in services))

        async def run() -> None:
            nonlocal value
            for index, service in enumerate(services):
                # Each step has its own request ID in the event log.
                step_id = exchange.request_id[:-2] + bytes([index + 1, 0])
                try:
                    value = await self._run_step(
                        step_id, exchange, account, service, value, allocation
                    )
                except errors.RequestError as exc:
                    if index == 0:
                        raise
                    raise errors.note_earlier_run(exc) from exc

        with exchange.open_answer() as allocation:
            await run_while_connected(exchange, run)
            await exchange.answer(200, value)

    def _find_step(
        self, account: configuration.ClientAccount, step: str
    ) -> configuration.Service:
        service = self._view.document.find(configuration.Service, step)
        form = service.form if service is not None else "plain"
        return self._find_service(account, step, form)

    async def _run_step(
        self,
        request_id: bytes,
        exchange: Exchange,
        account: configuration.ClientAccount,
        service: configuration.Service,
        value: bytes,
        allocation: Allocation,
    ) -> bytes:
        """Run one step and return its output.

        :param allocation: the memory of the outputs of all steps.
        """
        parts: list[bytes] = []
        if service.form == "model":

            async def emit(text: bytes, end: bool) -> None:
                parts.append(text)

            request = openai.ModelRequest(
                service.name,
                value,
                defaults.DEFAULT_MAX_TOKENS,
                False,
                False,
                False,
            )
            await self._runner.run_model(
                request_id, account, service, request, emit
            )
            return b"".join(parts)

        async def send(part: messages.Answer) -> None:
            if part.status >= 400:
                raise errors.RequestError(
                    "step_failed",
                    f"step {service.name} answered {part.status}",
                    status=502,
                    outcome=errors.Outcome.RAN,
                )
            hold_part(allocation, part.body)
            parts.append(part.body)

        inner = Exchange(
            exchange.scope,
            exchange.receive,
            exchange.send,
            request_id,
            exchange.memory,
        )
        await self._runner.run_plain(inner, account, service, "/", value, send)
        return b"".join(parts)
