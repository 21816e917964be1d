"""Our own days of trouble: well formed, and fit for any site."""

import pathlib
import re
import tomllib

import pytest

_DAYS = sorted(
    (pathlib.Path(__file__).parents[1] / "deploy" / "days").glob("*.toml")
)
# A day that the users gave, kept as they wrote it: for one site, and of one
# trouble only.
_GIVEN = {
    "deadly": """\
name = "deadly"
faults = [{ at = 5.0, kind = "poison", how = "deadly", \
class = "chapter-summary", share = 0.03, for_s = 20.0 }]
"""
}
_OWN = [path for path in _DAYS if path.stem not in _GIVEN]
# A site's first kind of request, service and data centre.
_PLACEHOLDERS = {"@c0", "@s0", "@z0"}
_PLACES = ("service", "class", "zone", "to_zone")
# Traffic lasts 34 seconds on the shortest days.
_LAST = 30.0


def test_there_are_enough_days():
    assert len(_OWN) >= 8


@pytest.mark.parametrize("name", _GIVEN)
def test_a_given_day_stays_as_it_was_given(name):
    path = next(path for path in _DAYS if path.stem == name)
    assert path.read_text() == _GIVEN[name]


@pytest.mark.parametrize("path", _OWN, ids=lambda path: path.stem)
def test_a_day_fits_any_site(path):
    text = path.read_text()
    day = tomllib.loads(text)
    assert day["name"] == path.stem
    assert text.startswith("# ")
    troubles = day["plan"] + day["faults"]
    # In pairs, and at least one kind twice or several at a time.
    assert len(troubles) >= 3
    for trouble in troubles:
        assert 0.0 <= trouble["at"] <= _LAST
        assert re.fullmatch(r"[a-z_]+", trouble["kind"])
        places = {trouble[key] for key in _PLACES if key in trouble}
        assert places <= _PLACEHOLDERS
