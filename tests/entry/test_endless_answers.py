"""Plain services whose answers do not end.

An agent or entry that holds such an answer whole runs out of memory, and the
requests of other callers end with it.
"""

import contextlib

import trio

from magnoliacove import targets
from magnoliacove.standins import fleet as fleets
from tests import fakes
from tests.entry import test_keys
from tests.entry import test_pipelines

_MB = 1024 * 1024
# Bytes that a target sends unless its caller closes the connection.
_ALL = 128 * _MB
# Bytes of one answer that an agent and an entry may hold together.
_MAX_HELD = 96 * _MB
_PART = b"x" * _MB
_PATH = f"/services/{fleets.PLAIN}/lots"


class _EndlessTarget:
    """A plain service whose answers do not end.

    :ivar sent: bytes that its caller has read.
    """

    def __init__(self):
        self.sent = 0

    @contextlib.asynccontextmanager
    async def call(self, method, path, headers, body, timeout):
        yield targets.PlainAnswer(200, (), self._make_parts())

    async def _make_parts(self):
        while self.sent < _ALL:
            await trio.sleep(0.001)
            self.sent += len(_PART)
            yield _PART


@contextlib.asynccontextmanager
async def _open_fleet(monkeypatch):
    """Open a fleet whose plain service answers without end."""
    target = _EndlessTarget()
    monkeypatch.setattr(fleets.plain, "DirectPlainTarget", lambda _: target)
    async with fakes.open_memory_fleet(replicas=1) as fleet:
        yield fleet, target


async def test_an_agent_does_not_keep_an_answer_without_end(
    autojump_clock, monkeypatch
):
    """Guards against an agent that runs out of memory.

    A request with an idempotency key runs to its end before its answer is
    sent, as its caller's next attempt must find it whole.
    """
    async with _open_fleet(monkeypatch) as (fleet, target):
        key = test_keys.mint(fleet.read_time())
        answer = await fakes.ask(
            fleet,
            "POST",
            f"/services/{fleets.PLAIN}/bids",
            b"bid",
            {"idempotency-key": key},
        )
        assert answer.status == 502
        assert answer.json["error"]["outcome"] == "may_have_run"
        assert target.sent < _MAX_HELD


async def test_an_entry_does_not_keep_what_its_caller_does_not_read(
    autojump_clock, monkeypatch
):
    """Guards against a queue without a limit for a caller that is slow."""
    async with _open_fleet(monkeypatch) as (fleet, target):
        with trio.move_on_after(4.0):
            await fakes.ask(fleet, "GET", _PATH, on_part=_stop_reading)
        assert target.sent < _MAX_HELD


async def _stop_reading(_):
    await trio.sleep_forever()


async def test_a_pipeline_does_not_keep_an_answer_without_end(
    autojump_clock, monkeypatch
):
    """Guards against the answer of a step without a limit."""
    async with _open_fleet(monkeypatch) as (fleet, target):
        await test_pipelines.make_pipeline(fleet)
        answer = await fakes.ask(fleet, "POST", "/pipelines/describe", b"lot")
        assert answer.status == 502
        assert target.sent < _MAX_HELD
