"""An entry that stops while its callers go on sending requests."""

import trio

from magnoliacove import defaults
from magnoliacove.standins import fleet as fleets
from tests import fakes

_PATH = f"/services/{fleets.PLAIN}/lots"
# Seconds that the service takes for a request.
_DELAY = 2.0
# Seconds that an entry has to stop; requests may take five.
_GRACE = 7.0


async def test_a_stopping_entry_takes_no_request_that_it_may_cut(
    autojump_clock, monkeypatch
):
    """Guards against requests that are taken late in a planned stop.

    They are passed on, and at the end of the grace period they are cut with no
    answer, among them requests that may not be repeated.
    """
    monkeypatch.setattr(defaults, "DRAIN_TIMEOUT", _GRACE)
    answers, unanswered = [], []

    async def ask(fleet):
        unanswered.append(True)
        answers.append(await fakes.ask(fleet, "POST", _PATH, b"lot"))
        unanswered.pop()

    async with fakes.open_memory_fleet(replicas=1) as fleet:
        fleet.plains["desk-0"].faults.delay = _DELAY
        entry = fleet.entries["entry-0"]
        async with trio.open_nursery() as nursery:
            for _ in range(4):
                nursery.start_soon(ask, fleet)
                await trio.sleep(0.25)
            nursery.start_soon(_stop, entry, nursery.cancel_scope)
            while True:
                nursery.start_soon(ask, fleet)
                await trio.sleep(0.25)
    assert not unanswered
    served = [a for a in answers if a.status == 200]
    refused = [a for a in answers if a.status == 503]
    assert len(served) + len(refused) == len(answers)
    # Those of the first seconds of the stop are served.
    assert len(served) >= 4 + (_GRACE - 5.0) / 0.25
    assert {a.json["error"]["outcome"] for a in refused} == {"not_run"}
    assert {a.headers["connection"] for a in refused} == {"close"}


async def _stop(entry, scope):
    """Drain an entry and end it."""
    await entry.server.drain()
    scope.cancel()
