import hypothesis
import logbook
import pytest

from tests import known_red

hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, max_examples=60, database=None
)
hypothesis.settings.load_profile("ci")
logbook.NullHandler().push_application()


@pytest.hookimpl(trylast=True)
def pytest_collection_modifyitems(config, items):
    entries = known_red.read_known_red(known_red.KNOWN_RED)
    all_collected = config.args_source is pytest.Config.ArgsSource.TESTPATHS
    known_red.expect_failures(entries, items, all_collected)


def pytest_terminal_summary(terminalreporter):
    for entry in known_red.read_known_red(known_red.KNOWN_RED):
        terminalreporter.write_line(
            f"known red: {entry.test}: {entry.seen}; "
            f"{entry.cause} ({entry.issue})"
        )
