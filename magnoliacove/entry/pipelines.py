"""Pipelines: services that run one after another on one request."""

from collections.abc import Callable

from magnoliacove import configuration
from magnoliacove import defaults
from magnoliacove import errors
from magnoliacove.directory import View
from magnoliacove.entry import openai
from magnoliacove.entry.exchange import Exchange
from magnoliacove.entry.exchange import run_while_connected
from magnoliacove.entry.runs import ServiceRuns
from magnoliacove.wire import messages

__all__ = ["Pipelines"]


class Pipelines:
    """Answers requests to pipelines.

    :param find_service: returns an account's service by name and form.
    """

    def __init__(
        self,
        view: View,
        runs: ServiceRuns,
        find_service: Callable[
            [configuration.ClientAccount, str, str], configuration.Service
        ],
    ) -> None:
        self._view = view
        self._runs = runs
        self._find_service = find_service

    async def serve(
        self,
        name: str,
        exchange: Exchange,
        account: configuration.ClientAccount,
    ) -> None:
        """Run a pipeline's services in turn, each on the one's before.

        :raises magnoliacove.errors.RequestError: when there is no such
            pipeline, or a step fails.
        """
        pipeline = self._view.document.find(configuration.Pipeline, name)
        if pipeline is None:
            raise errors.RequestError(
                "not_found", f"there is no pipeline {name!r}", status=404
            )
        # All are looked up before any runs: an account that may not use a
        # later step must not have the earlier ones run for nothing.
        services = [self._find_step(account, step) for step in pipeline.steps]
        value = await exchange.read_body()

        async def run() -> None:
            nonlocal value
            for index, service in enumerate(services):
                # Each step is a request of its own on the time line.
                part = exchange.name[:-2] + bytes([index + 1, 0])
                value = await self._run_step(
                    part, exchange, account, service, value
                )

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
        name: bytes,
        exchange: Exchange,
        account: configuration.ClientAccount,
        service: configuration.Service,
        value: bytes,
    ) -> bytes:
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
            await self._runs.run_model(name, account, service, request, emit)
            return b"".join(parts)

        async def send(part: messages.Answer) -> None:
            if part.status >= 400:
                raise errors.RequestError(
                    "step_failed",
                    f"step {service.name} answered {part.status}",
                    status=502,
                    outcome=errors.Outcome.RAN,
                )
            parts.append(part.body)

        inner = Exchange(exchange.scope, exchange.receive, exchange.send, name)
        await self._runs.run_plain(inner, account, service, "/", value, send)
        return b"".join(parts)
