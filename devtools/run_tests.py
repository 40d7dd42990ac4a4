"""Runs the tests; a failure is accepted only if KNOWN-RED.txt lists the test."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import NamedTuple

import pytest


KNOWN_RED = Path("KNOWN-RED.txt")
# Tests with this marker measure a whole process, so they run one at a time after all
# other tests.
ALONE_MARKER = "alone"


class KnownFailure(NamedTuple):
    """A test that is known to fail for a real fault, with its line in the list."""

    test: str
    line: str


class OutcomeCollector:
    """Pytest plugin that collects the ids of failed tests and counts passed ones."""

    def __init__(self) -> None:
        self.failed: list[str] = []
        self.passed = 0

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Record the outcome of a test phase."""
        if report.failed and report.nodeid not in self.failed:
            self.failed.append(report.nodeid)
        if report.when == "call" and report.passed:
            self.passed += 1

    def pytest_collectreport(self, report: pytest.CollectReport) -> None:
        """Record a file that could not be collected as failed."""
        if report.failed and report.nodeid not in self.failed:
            self.failed.append(report.nodeid)


def read_known_red(path: Path = KNOWN_RED) -> list[KnownFailure]:
    """Return the entries of the list of known failures.

    Each line is an entry that begins with the test and a ``|``. Empty lines and those
    that begin with ``#`` are skipped.
    """
    entries = []
    for line in path.read_text(encoding="utf-8").splitlines():
        if line.strip() and not line.startswith("#"):
            entries.append(KnownFailure(line.split("|")[0].strip(), line))
    return entries


def run_phases(arguments: list[str], collector: OutcomeCollector) -> bool:
    """Run the ordinary tests, then those that run alone; return whether both ran.

    Failed tests do not count against that. One phase may have no tests, but not both.
    """
    phases = (
        [*arguments, "-m", f"not {ALONE_MARKER}"],
        [*arguments, "-m", ALONE_MARKER, "-n", "0"],
    )
    codes = [pytest.main(phase, plugins=[collector]) for phase in phases]
    ran = [code for code in codes if code != pytest.ExitCode.NO_TESTS_COLLECTED]
    accepted = (pytest.ExitCode.OK, pytest.ExitCode.TESTS_FAILED)
    return bool(ran) and all(code in accepted for code in ran)


def main(arguments: list[str]) -> int:
    """Run pytest and return 0 unless an unlisted test failed."""
    collector = OutcomeCollector()
    all_ran = run_phases(arguments, collector)
    known = {entry.test: entry.line for entry in read_known_red()}
    for test in collector.failed:
        if test in known:
            print(f"KNOWN RED: {known[test]}")
    for test, line in known.items():
        if test not in collector.failed:
            print(f"listed as red but not failing here: {line}")
    unlisted = [test for test in collector.failed if test not in known]
    for test in unlisted:
        print(f"FAILED and not listed: {test}")
    known_red_count = len(collector.failed) - len(unlisted)
    if unlisted or not all_ran:
        return 1
    print(f"{collector.passed} passed, {known_red_count} known red")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
