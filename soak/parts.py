"""A soak with a part of prompts that crashes every engine that runs it.

No two of the requests with the part are alike.  Sound requests share their
client account and their other parts.
"""

from collections.abc import Callable
from dataclasses import dataclass
import pathlib
import time

import trio

from soak.crashes import CrashingEngine
from soak.crashes import CrashSoak
from soak.crashes import EngineFault
from soak.crashes import Reply
from soak.gateway_faults import GatewayFault
from soak.gateway_faults import inject_gateway_fault

__all__ = ["PartCrashSoak", "PartPlan"]

# Numbers of callers that send prompts with each crashing part, and sound ones.
_CRASHING_CALLERS = 2
_SOUND_CALLERS = 8
# Mean pause of a caller between two requests, in seconds.
_CRASHING_INTERVAL = 1.0
_SOUND_INTERVAL = 0.4
# Seconds after which a caller abandons a request.
_CALLER_TIMEOUT = 8.0
# Crashes that show that a part of a prompt is their cause.
_FIFTH = 4
_SOUND = "/stream/sound"
_CRASHING_PARTS = ("bad0", "bad1")
# What prompts share: the first part of all sound ones, and documents.
_PREAMBLE = "c0de"
_DOCUMENTS = ("d0", "d1", "d2")


@dataclass(frozen=True)
class PartPlan:
    """Where the crashing parts stand, and when they come.

    :param first: whether a crashing part is the first one of its prompts.
    :param second_at: when requests with a second crashing part begin, in
        seconds, 0 for never.
    """

    first: bool = False
    second_at: float = 0.0


@dataclass(frozen=True)
class _PartRun:
    """A run with a crashing part at an engine, by the monotonic clock."""

    part: str
    at: float


class _PartEngine(CrashingEngine):
    """An engine that a part of a prompt crashes.

    :param note_run: called with the part as soon as a request with it begins.
    """

    note_run: Callable[[str], None]

    def _is_crashed_by(self, headers: dict[str, str], path: str) -> bool:
        return bool(_list_crashing(headers))

    async def _write_stream(self, answer, headers, path) -> None:
        for part in _list_crashing(headers):
            self.note_run(part)
        await super()._write_stream(answer, headers, path)


def _list_crashing(headers: dict[str, str]) -> list[str]:
    """Return the crashing parts of a request's prompt."""
    prompt = headers.get("x-prefix-hash", "")
    return [part for part in _CRASHING_PARTS if f"{part}:" in prompt]


class PartCrashSoak(CrashSoak):
    """A soak with engines that a part of prompts crashes."""

    def __init__(
        self,
        seed: int,
        gateway_fault: GatewayFault,
        folder: pathlib.Path,
        engine_fault: EngineFault = EngineFault.REFUSES,
        plan: PartPlan | None = None,
    ) -> None:
        self._plan = plan or PartPlan()
        self._runs: list[_PartRun] = []
        super().__init__(seed, gateway_fault, folder, engine_fault)

    def list_late_arrivals(self, after: float) -> list[float]:
        """Return when requests reached engines too late, of either part.

        Each run crashes its engine, so a part's runs count its crashes.

        :param after: seconds from the fifth crash by the same part.
        """
        late = []
        for part in _CRASHING_PARTS:
            times = [run.at for run in self._runs if run.part == part]
            if len(times) > _FIFTH:
                limit = times[_FIFTH] + after
                late += [at for at in times if at > limit]
        return late

    def measure_sound(self, last: float) -> float:
        """Return the share of sound streams that were answered in full.

        :param last: seconds before the last request from which they count.
        """
        return self.measure_served([_SOUND], last)

    def _make_engine(self, name: str, fault: EngineFault) -> _PartEngine:
        engine = _PartEngine(
            name, self._ledger, self._record_crash, self._announce, fault
        )
        engine.note_run = self._note_run
        return engine

    def _note_run(self, part: str) -> None:
        self._runs.append(_PartRun(part, time.monotonic()))

    async def _inject_faults(self, seconds: float) -> None:
        with trio.move_on_after(seconds):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    inject_gateway_fault, self._gateways, self._gateway_fault
                )
                for _ in range(_SOUND_CALLERS):
                    nursery.start_soon(self._call_sound)
                for _ in range(_CRASHING_CALLERS):
                    nursery.start_soon(self._call_crashing, "bad0", 0.0)
                    if self._plan.second_at:
                        nursery.start_soon(
                            self._call_crashing, "bad1", self._plan.second_at
                        )

    async def _call_sound(self) -> None:
        while True:
            await self._pause(_SOUND_INTERVAL)
            number = next(self._numbers)
            document = self._callers_rng.choice(_DOCUMENTS)
            parts = f"{_PREAMBLE}:40,{document}:90,{number:x}:300"
            path, sent_at = f"{_SOUND}-{number}", time.monotonic()
            status, complete = await self._send(path, parts)
            self.replies.append(Reply(path, sent_at, status, complete))

    async def _call_crashing(self, part: str, begin: float) -> None:
        await trio.sleep(begin)
        while True:
            await self._pause(_CRASHING_INTERVAL)
            number = next(self._numbers)
            document = self._callers_rng.choice(_DOCUMENTS)
            shared = [f"{_PREAMBLE}:40", f"{part}:70"]
            if self._plan.first:
                shared = [f"{part}:70", f"{document}:90"]
            parts = ",".join([*shared, f"{number:x}:300"])
            await self._send(f"/stream/part-{number}", parts)

    async def _pause(self, mean: float) -> None:
        await trio.sleep(mean * self._callers_rng.uniform(0.5, 1.5))

    async def _send(self, path: str, parts: str) -> tuple[int, bool]:
        gateway = self._callers_rng.choice(self._gateways)
        with trio.move_on_after(_CALLER_TIMEOUT):
            return await self._send_request(gateway, path, parts)
        return 0, False
