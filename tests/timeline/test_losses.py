"""Failed and late requests get the cause that their events show."""

import json

from click.testing import CliRunner
import pytest

from magnoliacove import timeline
from magnoliacove.commands import timeline as command
from magnoliacove.timeline import losses
from magnoliacove.timeline.losses import Cause

_ARRIVED = {"objective": 0.5, "gap_objective": 0.2, "resumes": ""}
_LOST = {"kind": "path-lost", "why": "i-1 is lost to the path"}


class _Log:
    """Events of some gateways, in order, half a second apart."""

    def __init__(self):
        self.events = []
        self._milliseconds = 1_800_000_000_000

    def add(self, kind, request="", process="g-1", **values):
        self._milliseconds += 500
        detail = {
            key: value
            for key, value in values.items()
            if key not in ("target", "why")
        }
        self.events.append(
            timeline.Event(
                timeline.make_reading(self._milliseconds),
                process,
                kind,
                request,
                values.get("target", ""),
                7,
                values.get("why", ""),
                detail,
            )
        )
        return self

    def classify(self):
        (loss,) = losses.find_losses(self.events)
        return loss.late, loss.cause


def _answer(first=0.1, gap=0.1, **more):
    return {"first_event": first, "longest_gap": gap, **more}


@pytest.mark.parametrize(
    ("lines", "suspicion", "late", "cause"),
    [
        ([_LOST], "it gives no reports", True, Cause.ENGINE_LOST),
        ([_LOST], "requests at x wait for it", True, Cause.PATH_STALLED),
        ([_LOST], "", True, Cause.LAYERS_MOVED),
        (
            [{"kind": "path-lost", "why": "the connection was reset"}],
            "",
            True,
            Cause.ENGINE_BROKE_OFF,
        ),
        (
            [{"kind": "path-lost", "why": "refused with 421 by a:1"}],
            "",
            True,
            Cause.ENGINE_REFUSED,
        ),
        ([], "", True, Cause.UNKNOWN),
    ],
)
def test_a_pause_has_the_cause_of_the_path_change(
    lines, suspicion, late, cause
):
    log = _Log().add("request-arrived", "r-1", **_ARRIVED)
    if suspicion:
        log.add("target-suspected", target="i-1", why=suspicion)
    for line in lines:
        log.add(line["kind"], "r-1", why=line["why"])
    log.add("request-answered", "r-1", **_answer(gap=0.6))
    assert log.classify() == (late, cause)


def test_a_pause_without_a_path_change_may_be_a_slow_engine():
    log = _Log().add("request-arrived", "r-1", **_ARRIVED)
    log.add("request-answered", "r-1", **_answer(gap=0.6, slowness=4.0))
    assert log.classify() == (True, Cause.ENGINE_SLOW)


def test_the_event_of_the_next_incarnation_shows_a_restart():
    log = _Log().add("request-arrived", "r-1", **_ARRIVED)
    log.add("target-restarted", target="i-1@2", why="it follows i-1@1")
    log.add("path-lost", "r-1", why="i-1@1 is lost to the path")
    log.add("request-answered", "r-1", **_answer(gap=0.6))
    assert log.classify() == (True, Cause.ENGINE_RESTARTED)


def test_a_late_first_event_waited_for_capacity_or_a_start():
    log = _Log().add("request-arrived", "r-1", **_ARRIVED)
    log.add("request-waiting", "r-1").add("path-chosen", "r-1", waited=0.8)
    log.add("request-answered", "r-1", **_answer(first=0.9))
    assert log.classify() == (True, Cause.NO_ROOM)
    log = _Log().add("started").add("request-arrived", "r-1", **_ARRIVED)
    log.add("path-chosen", "r-1", waited=0.5)
    log.add("request-answered", "r-1", **_answer(first=0.9))
    assert log.classify() == (True, Cause.GATEWAY_STARTED)


def test_a_request_without_an_end_ended_with_its_gateway():
    log = _Log().add("started").add("request-arrived", "r-1", **_ARRIVED)
    assert log.classify() == (False, Cause.LOG_ENDS)
    log.add("started")
    assert log.classify() == (False, Cause.GATEWAY_ENDED)


@pytest.mark.parametrize(
    ("silent", "cause"), [(0.2, Cause.CALLER), (2.1, Cause.PATH_SILENT)]
)
def test_a_caller_leaves_by_itself_or_because_of_a_silent_path(silent, cause):
    log = _Log().add("request-arrived", "r-1", **_ARRIVED)
    log.add("caller-left", "r-1", silent=silent)
    assert log.classify() == (False, cause)


@pytest.mark.parametrize(
    ("why", "cause"),
    [
        ("no_room: none has room", Cause.NO_ROOM),
        ("not_ready: none", Cause.NO_CONFIGURATION),
        ("target_failed: none", Cause.TARGET_FAILED),
        ("internal: a fault", Cause.UNKNOWN),
    ],
)
def test_a_refusal_has_the_cause_of_its_code(why, cause):
    log = _Log().add("request-arrived", "r-1", **_ARRIVED)
    log.add("request-failed", "r-1", why=why)
    assert log.classify() == (False, cause)


def test_timely_answers_and_caller_errors_are_no_losses():
    log = _Log()
    for request, kind, values in (
        ("r-1", "request-answered", _answer()),
        ("r-2", "request-answered", {"seconds": 0.1}),
        ("r-3", "request-failed", {"why": "unknown_key: none"}),
    ):
        log.add("request-arrived", request, **_ARRIVED)
        log.add(kind, request, **values)
    assert losses.find_losses(log.events) == []


def test_the_command_reads_collected_lines(tmp_path):
    """The log collector prefixes the lines of all gateways with the time and
    the host.  The command counts the losses by cause and draws them.
    """
    log = _Log()
    for number in range(5):
        log.add("request-arrived", f"r-{number}", **_ARRIVED)
        log.add("request-failed", f"r-{number}", why="no_room: none")
    lines = [f" 12.3 front-1 {event.to_json()}" for event in log.events]
    page = tmp_path / "losses.html"
    result = CliRunner().invoke(
        command._command,
        ["--log", "-", "--losses", "--html", str(page)],
        input="\n".join(lines),
    )
    assert result.exit_code == 0, result.output
    assert "no path had room: r-0 r-1 r-2\n" in result.output
    assert "5 failed, 0 late" in page.read_text()
    assert json.loads(log.events[0].to_json())["kind"] == "request-arrived"
