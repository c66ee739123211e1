"""A start of the fleet is logged in few lines, and none of it is lost."""

import structlog

from savorybend.relay import directory
from savorybend.relay import learnedlog
from tests import fakes
from tests.relay import samples

_DAEMONS = 1_000
_MAX_LINES = 11


def _learn_all(daemons):
    clock = fakes.create_clock()
    learned_log = learnedlog.create_learned_log(clock)
    known = directory.create_directory("me", learned_log)
    for number in range(daemons):
        source = "store" if number % 2 else "vm-1"
        known.learn(samples.statement(f"vm-{number:04}"), source)
    return clock, known, learned_log


def test_a_start_of_the_fleet_does_not_log_a_line_for_each_daemon():
    # 195 daemons wrote 32,037 lines in their first seconds.
    with structlog.testing.capture_logs() as logs:
        _, known, learned_log = _learn_all(_DAEMONS)
        learned_log.start_interval()
        learned_log.start_interval()
    assert len(known.names) == _DAEMONS
    assert len(logs) == _MAX_LINES
    summary = logs[-1]
    assert summary["event"] == "daemons_learned"
    assert summary["daemons"] == _DAEMONS - 10
    assert summary["sources"] == "vm-1:495,store:495"
    assert len(summary["peers"].split(",")) == 20


def test_single_changes_are_logged_as_they_come():
    with structlog.testing.capture_logs() as logs:
        _, known, learned_log = _learn_all(3)
        learned_log.start_interval()
        known.learn(samples.statement("vm-0001", serial=2), "vm-0001")
    assert [one["event"] for one in logs] == ["daemon_learned"] * 4
    assert logs[-1]["peer"] == "vm-0001"
    assert logs[-1]["source"] == "vm-0001"


def test_the_page_tells_when_and_through_whom_each_became_known():
    clock, known, learned_log = _learn_all(_DAEMONS)
    clock.advance(2.5)
    lines = list(learned_log.lines())
    assert len(lines) == _DAEMONS
    assert lines[500].startswith("daemon=vm-0500 service=ledger state=ready")
    assert lines[500].endswith("source=vm-1 learned_s_ago=2.500")
    known.remove("vm-0500", "store")
    assert len(list(learned_log.lines())) == _DAEMONS - 1
