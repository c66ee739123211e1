"""Tests of holding back requests that crash backend servers."""

import itertools

import hypothesis
from hypothesis import strategies

from savorybend.relay import contents
from savorybend.relay import suspects
from tests import fakes
from tests.relay import samples

_crash_ids = (f"crash-{number}" for number in itertools.count())


class _Daemon:
    """Suspects of one daemon that runs all trials of its service."""

    def __init__(self):
        self.clock = fakes.create_clock()
        self.told = []
        self.spread = []
        self.stored = 0
        self.runs_trials = True
        self.suspects = suspects.create_suspects(
            suspects.Parts(
                clock=self.clock,
                tell=lambda service, report: self.told.append(report),
                spread=self.spread.append,
                runs_trial=lambda service, text: self.runs_trials,
                store=self._store,
                is_lender=lambda: False,
            )
        )

    def _store(self):
        self.stored += 1

    def held(self, **changes):
        return self.suspects.held(_request(**changes))

    def crash(self, crash=None, **changes):
        self.suspects.note_crash(
            _request(**changes), crash or next(_crash_ids), "i-1"
        )

    def run(self, status, **changes):
        """Runs a request to its answer."""
        request = _request(**changes)
        permit = self.suspects.begin(request)
        self.suspects.note_answer(request, permit, status)

    def hear_all(self, other):
        for report in other.suspects.reports():
            self.suspects.hear(report, "other")


def _request(**changes):
    return contents.Request(samples.call(**changes))


def _holding(**changes):
    daemon = _Daemon()
    for _ in range(3):
        daemon.crash(**changes)
    assert daemon.held(**changes)
    return daemon


def test_three_deaths_quarantine_a_content_whoever_sends_it():
    daemon = _Daemon()
    for account in "abc":
        assert not daemon.held()
        daemon.crash(client_account=account)
    assert daemon.held(request_id="another", client_account="d")
    assert daemon.held(service="another", route="another")
    assert not daemon.held(body=b"other")


def test_copies_under_way_together_are_one_death():
    daemon = _Daemon()
    for _ in range(5):
        daemon.crash("one")
    assert not daemon.held()


def test_an_answer_clears_a_suspect_and_others_are_told():
    daemon, other = _Daemon(), _Daemon()
    for _ in range(2):
        daemon.crash()
    daemon.run(200)
    assert [report.crashes for report in daemon.told] == [1, 2, 0]
    daemon.crash()
    other.hear_all(daemon)
    other.crash()
    assert not daemon.held()
    assert not other.held()


def test_deaths_that_others_tell_of_count_too():
    daemon, other = _Daemon(), _Daemon()
    for _ in range(2):
        other.crash()
    daemon.hear_all(other)
    daemon.crash()
    assert daemon.held()


def test_a_report_heard_twice_counts_once():
    daemon, other = _Daemon(), _Daemon()
    for _ in range(2):
        other.crash()
    for _ in range(3):
        daemon.hear_all(other)
    assert not daemon.held()


def test_an_older_report_does_not_undo_an_answer():
    daemon, other = _holding(), _Daemon()
    other.hear_all(daemon)
    daemon.clock.advance(31)
    daemon.run(200)
    daemon.hear_all(other)
    assert not daemon.held()
    other.hear_all(daemon)
    assert not other.held()


def test_a_failure_as_answer_clears_nothing():
    daemon = _Daemon()
    for _ in range(2):
        daemon.crash()
    daemon.run(500)
    daemon.run(404)
    daemon.crash()
    assert daemon.held()


def test_an_answer_to_a_run_begun_before_the_crashes_clears_nothing():
    daemon = _Daemon()
    request = _request()
    permit = daemon.suspects.begin(request)
    for _ in range(3):
        daemon.crash()
    daemon.suspects.note_answer(request, permit, 200)
    assert daemon.held()


def test_an_answer_to_another_account_clears_nothing_of_this_one():
    daemon = _Daemon()
    for _ in range(2):
        daemon.crash()
    daemon.run(200, client_account="another")
    daemon.crash()
    assert daemon.held()
    assert not daemon.held(client_account="another")


def test_a_held_content_gets_two_trials_and_no_more():
    daemon = _holding()
    for delay_s in (31, 301):
        daemon.clock.advance(delay_s)
        assert not daemon.held()
        daemon.suspects.begin(_request())
        assert daemon.held()
        daemon.crash()
    daemon.clock.advance(3600)
    assert daemon.held()


def test_only_the_chosen_daemon_runs_a_trial():
    daemon = _holding()
    daemon.runs_trials = False
    daemon.clock.advance(31)
    assert daemon.held()


def test_a_content_in_flight_by_chance_gets_out_after_its_trial():
    daemon = _Daemon()
    for account in "abc":
        daemon.crash(client_account=account)
    daemon.clock.advance(31)
    daemon.run(404, client_account="a")
    for account in "abcd":
        assert not daemon.held(client_account=account)


def test_a_content_let_go_after_a_trial_is_held_again_at_the_next_crash():
    daemon = _holding()
    daemon.clock.advance(31)
    daemon.run(200)
    assert not daemon.held()
    daemon.crash()
    assert daemon.held()


def test_a_held_content_is_stored_and_survives_all_daemons():
    stored = _holding().suspects.stored
    daemon = _Daemon()
    for report in stored:
        daemon.suspects.hear(report, "store")
    assert daemon.held()


def test_a_crowd_of_suspects_does_not_push_out_a_held_content():
    daemon = _holding()
    for number in range(10_500):
        daemon.crash(target=b"/stock/other-%d" % number)
    assert daemon.held()


def test_neighbours_are_told_when_a_content_is_held_and_let_go():
    daemon, other = _holding(), _Daemon()
    assert len(daemon.spread) == 1
    other.hear_all(daemon)
    assert len(other.spread) == 1


@hypothesis.given(
    order=strategies.permutations(range(6)), again=strategies.integers(0, 5)
)
def test_daemons_agree_in_whatever_order_reports_arrive(order, again):
    first, reader = _holding(), _Daemon()
    first.clock.advance(31)
    first.run(200)
    for _ in range(2):
        first.crash()
    reports = first.told[-6:]
    for number in [*order, again]:
        reader.suspects.hear(reports[number], "first")
    assert reader.held() == first.held()
    assert reader.suspects.stored[0].voided == first.suspects.stored[0].voided
