"""Tests that are known to fail because of faults not yet fixed.

Each line of ``KNOWN-RED.txt`` lists one test, with fields separated by bars:

    test | command | seed | what was seen | cause | issue

A listed test runs with all others and must fail.  The run fails if a listed
test passes, so that its line is removed together with the fix.  The run also
fails if the file lists a test that does not exist, or lists a test twice.
"""

from dataclasses import dataclass
import pathlib

import pytest

KNOWN_RED = pathlib.Path(__file__).parents[1] / "KNOWN-RED.txt"
_FIELDS = 6


@dataclass(frozen=True)
class KnownRed:
    """A test that is known to fail.

    :param test: its pytest node id.
    """

    test: str
    command: str
    seed: str
    seen: str
    cause: str
    issue: str

    @property
    def file(self):
        """The path of the file that contains the test."""
        return self.test.partition("::")[0]


def read_known_red(path):
    """Return the tests that a file lists, or none if it does not exist.

    :raises pytest.UsageError: when a line lacks a field, or a test is
        listed twice.
    """
    if not path.exists():
        return []
    lines = [line for line in path.read_text().splitlines() if line.strip()]
    entries = [_read_line(line) for line in lines]
    if len({entry.test for entry in entries}) < len(entries):
        raise pytest.UsageError(
            f"{path.name} lists a test twice; list each test once"
        )
    return entries


def expect_failures(entries, items, all_collected):
    """Mark the listed tests among the collected ones as expected to fail.

    :param all_collected: whether all tests were collected.
    :raises pytest.UsageError: when a listed test does not exist.
    """
    by_id = {item.nodeid: item for item in items}
    files = {item.nodeid.partition("::")[0] for item in items}
    for entry in entries:
        item = by_id.get(entry.test)
        if item is not None:
            reason = f"{entry.cause} ({entry.issue})"
            item.add_marker(pytest.mark.xfail(strict=True, reason=reason))
        elif all_collected or entry.file in files:
            raise pytest.UsageError(
                f"KNOWN-RED.txt lists {entry.test}, which does not exist; "
                "remove or correct the line"
            )


def _read_line(line):
    fields = [field.strip() for field in line.split("|")]
    if len(fields) != _FIELDS or not all(fields):
        raise pytest.UsageError(
            f"KNOWN-RED.txt: {line!r} lacks a field; write 'test | command | "
            "seed | what was seen | cause | issue'"
        )
    return KnownRed(*fields)
