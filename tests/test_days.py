"""Checks of the fault scenarios in ``deploy/days``.

The files must be well formed, and the project's own scenarios must apply to
any site.
"""

import pathlib
import re
import tomllib

import pytest

_SCENARIOS = sorted(
    (pathlib.Path(__file__).parents[1] / "deploy" / "days").glob("*.toml")
)
# A scenario from the users, kept exactly as they wrote it: it applies to one
# site and contains a single fault.
_USERS_SCENARIOS = {
    "deadly": """\
name = "deadly"
faults = [{ at = 5.0, kind = "poison", how = "deadly", \
class = "chapter-summary", share = 0.03, for_s = 20.0 }]
"""
}
_OWN_SCENARIOS = [
    path for path in _SCENARIOS if path.stem not in _USERS_SCENARIOS
]
# Placeholders for a site's first request class, service and data centre.
_PLACEHOLDERS = {"@c0", "@s0", "@z0"}
_SCOPE_KEYS = ("service", "class", "zone", "to_zone")
# Seconds; traffic lasts 34 seconds in the shortest scenarios.
_MAX_INCIDENT_TIME = 30.0


def test_there_are_at_least_eight_own_scenarios():
    assert len(_OWN_SCENARIOS) >= 8


@pytest.mark.parametrize("name", _USERS_SCENARIOS)
def test_a_users_scenario_is_unchanged(name):
    path = next(path for path in _SCENARIOS if path.stem == name)
    assert path.read_text() == _USERS_SCENARIOS[name]


@pytest.mark.parametrize("path", _OWN_SCENARIOS, ids=lambda path: path.stem)
def test_an_own_scenario_applies_to_any_site(path):
    text = path.read_text()
    scenario = tomllib.loads(text)
    assert scenario["name"] == path.stem
    assert text.startswith("# ")
    incidents = scenario["plan"] + scenario["faults"]
    # Incidents come in pairs, and at least one kind occurs twice, or several
    # occur at a time.
    assert len(incidents) >= 3
    for incident in incidents:
        assert 0.0 <= incident["at"] <= _MAX_INCIDENT_TIME
        assert re.fullmatch(r"[a-z_]+", incident["kind"])
        scopes = {incident[key] for key in _SCOPE_KEYS if key in incident}
        assert scopes <= _PLACEHOLDERS
