"""Runs every test; failures listed in KNOWN-RED.txt are printed and passed.

An entry of KNOWN-RED.txt is a line of five fields with ` | ` between them:
test, command, seed, what was seen, issue. A line that begins with # is a
comment.
"""

import pathlib
import sys
import typing

import pytest

_ROOT = pathlib.Path(__file__).parent.parent
_KNOWN_RED = _ROOT / "KNOWN-RED.txt"
_SEPARATOR = " | "


class Entry(typing.NamedTuple):
    """A test that fails for a real fault which is not mended yet."""

    test: str
    command: str
    seed: str
    seen: str
    issue: str


class Failures:
    """A pytest plugin that gathers the tests which failed."""

    def __init__(self):
        self.tests: set[str] = set()
        self.collection_failed = False

    def pytest_runtest_logreport(self, report):
        """Notes a failed test."""
        if report.failed:
            self.tests.add(report.nodeid)

    def pytest_collectreport(self, report):
        """Notes a module that can't be read."""
        if report.failed:
            self.collection_failed = True


def read_known_red(text: str) -> list[Entry]:
    """Returns the entries; raises ValueError for a malformed line."""
    entries = []
    for line in text.splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        fields = line.split(_SEPARATOR)
        if len(fields) != len(Entry._fields):
            raise ValueError(
                f"KNOWN-RED.txt: {line!r} needs {len(Entry._fields)} fields "
                f"with {_SEPARATOR!r} between them"
            )
        entries.append(Entry(*(field.strip() for field in fields)))
    return entries


def judge(failed: set[str], known: set[str], code: int) -> int:
    """Returns the exit code: 0 where nothing but known failures stands."""
    if code not in (pytest.ExitCode.OK, pytest.ExitCode.TESTS_FAILED):
        return int(code)
    return 1 if failed - known else 0


def main(arguments: list[str]) -> int:
    """Runs the tests; returns the exit code."""
    entries = read_known_red(_KNOWN_RED.read_text())
    failures = Failures()
    code = pytest.main(arguments, plugins=[failures])
    known = {entry.test for entry in entries}
    for entry in entries:
        state = "red" if entry.test in failures.tests else "did not fail"
        print(f"KNOWN RED ({state}): {entry.test}: {entry.seen}")
    for test in sorted(failures.tests - known):
        print(f"FAILED, not known: {test}")
    if failures.collection_failed:
        print("FAILED: a module of tests can't be read")
        return 1
    return judge(failures.tests, known, code)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
