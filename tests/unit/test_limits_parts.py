"""Tests each mechanism of the fleet-wide limiter on its own."""

import hypothesis
import pytest
from hypothesis import strategies

from savorybend.internal import allocation
from savorybend.internal import borrowing
from savorybend.internal import entrusting
from savorybend.internal import holdings
from savorybend.internal import ledger
from savorybend.internal import snapshot
from savorybend.internal import terms
from savorybend.internal import timers
from savorybend.internal.wire import limits as messages
from tests import fakes
from tests import meters

_CENTRES = {"east": 1.0, "west": 1.0}
_MEMBERS = [ledger.Member(name, 1, name) for name in ("a", "b", "c")]

limits = strategies.tuples(
    strategies.sampled_from((5.0, 50.0, 500.0)),
    strategies.sampled_from((2.0, 10.0, 100.0, 1000.0)),
)


def _terms(limit, data_centre="east", centres=None):
    account = snapshot.Account("maruyama", *limit, 1.0)
    return terms.create_terms(account, centres or _CENTRES, data_centre)


def _entrust_all(allocator, now_s):
    for index in range(terms.PART_COUNT):
        part = messages.Part(index, 1, messages.NEVER_LENT)
        allocator.entrust(part, now_s, now_s)


@hypothesis.given(
    first=limits,
    steps=strategies.lists(
        strategies.tuples(
            strategies.sampled_from((0.001, 0.05, 0.3, 1.0, 5.0)),
            strategies.one_of(strategies.integers(1, 1500), limits),
            strategies.booleans(),
        ),
        max_size=30,
    ),
)
@hypothesis.example(
    # Outstanding loans under the old terms are spent together with tokens of
    # the new terms.
    first=(5.0, 100.0),
    steps=[
        *[(5.0, 1, False)] * 5,
        (5.0, 20, True),
        (0.001, (500.0, 100.0), False),
        *[(0.3, 1, False)] * 3,
        (0.05, 1500, True),
        (0.05, 1500, False),
    ],
)
def test_lent_tokens_spent_as_late_as_they_may_stay_in_the_bound(first, steps):
    centres = {"east": 1.0}
    now_s = 100.0
    allocator = allocation.create_allocator(now_s)
    terms_of = {"maruyama": _terms(first, centres=centres)}
    allocator.configure(terms_of, now_s, 1)
    changes, spent = [(now_s, first)], []
    _entrust_all(allocator, now_s)
    for passed_s, step, late in steps:
        # Renewed in intervals, as an owner does.
        while passed_s > 0:
            now_s += min(1.0, passed_s)
            passed_s -= 1.0
            _entrust_all(allocator, now_s)
        if isinstance(step, tuple):
            new = {"maruyama": _terms(step, centres=centres)}
            allocator.configure(new, now_s, 2)
            changes.append((now_s, step))
            continue
        grant = allocator.lend("maruyama", step, now_s)
        spent += [now_s + late * grant.valid_s] * grant.tokens
    spent.sort()
    # Tokens lent before a change can't be recalled. They count under the old
    # limits until they expire.
    for change_s, _ in changes:
        for since_s in (change_s, change_s + terms.LONGEST_LOAN_S):
            _check_windows(changes, since_s, spent)


def _check_windows(changes, since_s, spent):
    """Checks all windows that begin at `since_s` or later."""
    meter = meters.Meter(since_s)
    ends = [at_s for at_s, _ in changes[1:]] + [float("inf")]
    for (begin_s, (rate, burst)), end_s in zip(changes, ends, strict=True):
        if end_s <= since_s - terms.LONGEST_LOAN_S:
            continue
        meter.burst = max(meter.burst, burst)
        begin_s = max(begin_s, since_s)
        meter.check([s for s in spent if begin_s < s <= end_s], rate)
        if since_s < end_s < float("inf"):
            meter.drain(end_s, rate)


@hypothesis.given(limit=limits, centres=strategies.integers(1, 6))
def test_data_centres_share_no_more_than_the_whole(limit, centres):
    names = {f"centre-{number}": 1.0 for number in range(centres)}
    shares = [_terms(limit, name, names) for name in names]
    rate, burst = limit
    assert sum(share.rate_per_s for share in shares) <= rate * 1.000001
    late = rate * shares[0].loan_s
    assert sum(share.depth for share in shares) + late <= burst * 1.000001
    assert any(share.depth >= 1.0 for share in shares)


def test_a_loan_that_comes_twice_is_counted_once():
    questions = borrowing.create_pending_requests()
    ask = questions.open("a", "maruyama", 5, 100.0)
    assert questions.close(ask.sequence).sent_s == 100.0
    assert questions.close(ask.sequence) is None


@pytest.mark.parametrize("late_s, good", [(0.9, True), (1.1, False)])
def test_a_lent_token_lapses_counted_from_the_question(late_s, good):
    borrowed = borrowing.create_borrowed(100.0)
    loan = messages.Loan(1, "maruyama", 1, 1.0, 0.0)
    # The response took half a second, which counts towards the validity.
    borrowed.add(loan, 100.0, 100.5)
    assert (borrowed.batches.take(100.0 + late_s) is not None) == good
    assert borrowed.batches.take(100.0 + late_s) is None


def _confirm_grant(owned_parts, serial, now_s, age_s=0.0):
    owned_parts.on_entrusted(
        "a",
        messages.Entrusted(
            1, 1, now_s, now_s, age_s, (messages.Part(0, serial),)
        ),
        now_s,
    )


def test_a_new_owner_waits_until_its_predecessor_s_word_has_lapsed():
    owned_parts = holdings.create_holdings(1)
    _confirm_grant(owned_parts, 2, 100.0)
    assert not owned_parts.entrust("a", 100.0 + allocation.ENTRUST_S / 2).parts
    assert owned_parts.entrust("a", 100.0 + allocation.ENTRUST_S).parts


def test_an_owner_that_nobody_confirms_gives_up():
    owned_parts = holdings.create_holdings(1)
    _confirm_grant(owned_parts, 1, 100.0, age_s=60.0)
    end_s = 100.0 - 60.0 + holdings.OWNERSHIP_TIMEOUT_S
    assert owned_parts.entrust("a", end_s - 2 * allocation.ENTRUST_S).parts
    assert not owned_parts.entrust("a", end_s - allocation.ENTRUST_S).parts


def test_an_older_copy_of_the_ledger_brings_nothing_back():
    owned_parts = holdings.create_holdings(1)
    _confirm_grant(owned_parts, 1, 100.0)
    owned_parts.release(0, 100.0)
    _confirm_grant(owned_parts, 1, 101.0)
    assert owned_parts.owned == 0


def test_a_copy_from_before_a_release_does_not_settle_it():
    # An allocator whose copy of the ledger is from before the first write
    # answers that nothing is granted. If the owner takes that as proof that the
    # release was recorded, it stops reporting it and the parts stay unused
    # forever.
    owned_parts = holdings.create_holdings(1)
    _confirm_grant(owned_parts, 1, 100.0)
    owned_parts.release(0, 100.0)
    stale = messages.Entrusted(1, 1, 101.0, 101.0, 2.0, ())
    owned_parts.on_entrusted("a", stale, 101.0)
    assert owned_parts.entrust("a", 102.0).released
    fresh = messages.Entrusted(1, 1, 102.0, 102.0, 1.0, ())
    owned_parts.on_entrusted("a", fresh, 102.0)
    assert not owned_parts.entrust("a", 103.0).released


def test_what_an_allocator_has_let_go_of_is_granted_without_rest():
    owned_parts = holdings.create_holdings(1)
    _confirm_grant(owned_parts, 2, 100.0)
    usable_s = 100.0 + allocation.ENTRUST_S
    owned_parts.entrust("a", usable_s)
    owned_parts.release(0, usable_s)
    assert not owned_parts.entrust("a", usable_s).released
    taken = owned_parts.withdraw_released(usable_s)
    answer = messages.Withdrawn(1, 1, taken.sent_s, taken.parts, 7)
    owned_parts.on_withdrawn("a", answer, usable_s)
    (part,) = owned_parts.entrust("a", usable_s).released
    # Under which configuration the part was lent before is unknown, and the
    # answer doesn't change that.
    assert part == messages.Part(0, 2)
    planner, entry = ledger.create_planner(), ledger.Entry(2, "b", 1, "b")
    planner.note_released([messages.Part(0, 2, 7)])
    planned = planner.plan(ledger.Ledger((entry,)), _MEMBERS, 0.0)
    after = holdings.create_holdings(1)
    (granted,) = planned.granted(planned.entries[0].owner, 1)
    after.on_entrusted(
        "a", messages.Entrusted(1, 1, 1.0, 1.0, 0.0, (granted,)), 1.0
    )
    assert after.entrust("a", 1.0).parts == (messages.Part(0, 3, 7),)


@hypothesis.given(
    steps=strategies.lists(
        strategies.tuples(
            strategies.sets(strategies.sampled_from(_MEMBERS)),
            strategies.sampled_from(
                (1.0, 11.0, holdings.OWNERSHIP_TIMEOUT_S / 2)
            ),
        ),
        max_size=12,
    )
)
def test_a_part_changes_hands_only_after_the_hold_of_its_owner(steps):
    planner, current, now_s = ledger.create_planner(), ledger.Ledger(), 0.0
    marked_s = {}
    for alive, passed_s in steps:
        now_s += passed_s
        planned = planner.plan(current, alive, now_s)
        for index, entry in enumerate(current.entries):
            new = planned.entries[index]
            if entry.owner and new.serial != entry.serial:
                assert now_s - marked_s[index] > holdings.OWNERSHIP_TIMEOUT_S
            if new.marked and not entry.marked:
                marked_s[index] = now_s
        current = planned


def test_a_daemon_started_anew_at_its_address_gets_its_parts_back():
    planner = ledger.create_planner()
    current = planner.plan(ledger.Ledger(), _MEMBERS, 0.0)
    again = ledger.Member("a", 2, "a")
    planned = planner.plan(current, [again, *_MEMBERS[1:]], 1.0)
    assert len(planned.granted("a", 2)) == len(current.granted("a", 1))
    moved = ledger.Member("a", 2, "elsewhere")
    planned = planner.plan(current, [moved, *_MEMBERS[1:]], 1.0)
    assert not planned.granted("a", 2)


class _Entrusting:
    """An owner of one part, and the allocators that it entrusts it to."""

    def __init__(self):
        self.clock = fakes.create_clock()
        self.timers = timers.create_manual_timer_service(self.clock)
        self.chosen = "first"
        self.lost = False
        self.lending = {}
        self.owner = entrusting.create_owner(
            entrusting.Dependencies(
                self.clock, self.timers, self, "east", self._send
            ),
            holdings.create_holdings(1),
        )

    def allocator(self, data_centre):
        return self.chosen

    def of_centre(self, data_centre):
        return []

    def advance(self, seconds):
        self.clock.advance(seconds)
        self.timers.run_due()

    def _send(self, peer, message):
        if self.lost or not isinstance(message, messages.Entrust):
            return
        self.lending[peer] = bool(message.parts)
        now_s = self.clock.now_s()
        answer = messages.Entrusted(
            1, 1, now_s, message.sent_s, 0.0, (messages.Part(0, 1, 0),)
        )
        self.timers.after(0.0, lambda: self.owner.on_entrusted(peer, answer))


@pytest.mark.parametrize("late_s", [0.0, 0.01, 0.2])
def test_parts_are_not_idle_after_the_time_of_a_lost_allocator_ends(late_s):
    site = _Entrusting()
    site.owner.on_entrusted("first", messages.Entrusted(1, 1, 0.0, 0.0, 0.0))
    for _ in range(2):
        site.advance(entrusting.INTERVAL_S)
        site.owner.tick()
        site.advance(0.0)
    assert site.lending == {"first": True}
    site.lost = True
    site.advance(entrusting.INTERVAL_S + late_s)
    site.owner.tick()
    site.lost = False
    site.chosen = "second"
    site.advance(entrusting.INTERVAL_S - late_s)
    site.owner.tick()
    site.advance(0.0)
    assert not site.lending["second"]
    site.advance(allocation.ENTRUST_S - entrusting.INTERVAL_S + late_s)
    site.advance(0.0)
    assert site.lending["second"]
