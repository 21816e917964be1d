"""Effect of ``KNOWN-RED.txt`` on a test run."""

import pytest

from tests import known_red

pytest_plugins = ["pytester"]

_CONFTEST = """
import pathlib
from tests import known_red
known_red.KNOWN_RED = pathlib.Path({path!r})
from tests.conftest import pytest_collection_modifyitems
from tests.conftest import pytest_terminal_summary
"""
_LINE = "{} | pytest | none | seen | cause | issue 1\n"


@pytest.fixture
def run(pytester, monkeypatch):
    """Return a function that runs a failing and a passing test.

    Its arguments are the tests that ``KNOWN-RED.txt`` lists.
    """

    def run_tests(*names):
        listed = pytester.path / "KNOWN-RED.txt"
        listed.write_text("".join(_LINE.format(name) for name in names))
        monkeypatch.setattr(known_red, "KNOWN_RED", listed)
        pytester.makeconftest(_CONFTEST.format(path=str(listed)))
        pytester.makeini("[pytest]\ntestpaths = .\naddopts = -p no:trio")
        pytester.makepyfile(
            test_a="def test_red(): assert False\ndef test_green(): pass\n"
        )
        return pytester.runpytest_inprocess()

    return run_tests


def test_a_listed_test_may_fail_and_is_printed(run):
    result = run("test_a.py::test_red")
    result.assert_outcomes(passed=1, xfailed=1)
    assert result.ret == 0
    result.stdout.fnmatch_lines(["known red: test_a.py::test_red: seen; *"])


def test_any_other_test_still_fails_the_run(run):
    result = run()
    result.assert_outcomes(passed=1, failed=1)
    assert result.ret == 1


def test_a_listed_test_that_passes_fails_the_run(run):
    result = run("test_a.py::test_red", "test_a.py::test_green")
    result.assert_outcomes(xfailed=1, failed=1)
    assert result.ret == 1


@pytest.mark.parametrize("name", ["test_a.py::test_no", "test_b.py::test_x"])
def test_a_listed_test_that_does_not_exist_fails_the_run(run, name):
    result = run("test_a.py::test_red", name)
    assert result.ret == pytest.ExitCode.USAGE_ERROR


@pytest.mark.parametrize(
    "text",
    ["test_a.py::test_red\n", _LINE.format("a") * 4, "a | b | | d | e | f\n"],
)
def test_a_malformed_list_or_a_repeated_entry_is_an_error(tmp_path, text):
    path = tmp_path / "KNOWN-RED.txt"
    path.write_text(text)
    with pytest.raises(pytest.UsageError):
        known_red.read_known_red(path)
