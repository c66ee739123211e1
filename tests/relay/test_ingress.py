"""Tests of answers to callers, by the outcomes at the daemons."""

import math
import typing

import pytest
from structlog import testing

from savorybend.internal import timers
from savorybend.relay import admission
from savorybend.relay import allowance
from savorybend.relay import callers
from savorybend.relay import calls
from savorybend.relay import catalog
from savorybend.relay import counters
from savorybend.relay import forwarding
from savorybend.relay import frames
from savorybend.relay import ingress
from savorybend.relay import lender
from savorybend.relay import loadbalancer
from savorybend.relay import outcomes
from savorybend.relay import retrybudget
from savorybend.relay import servicetimes
from savorybend.relay import splitting
from tests import fakes
from tests.relay import samples

_RAN = outcomes.Ran(200, b"", b"whole")


class _Codec:
    """Decodes requests from the plain headers that tests set."""

    def decode(self, exchange):
        found = dict(exchange.headers)
        return calls.Incoming(
            request_id=found.get(b"id", b"r").decode(),
            method=exchange.method,
            target=exchange.target,
            host="shop.example",
            left_s=float(found.get(b"left", b"5")),
            key=found.get(b"key", b"").decode(),
            head=b"",
            body=exchange.body,
        )

    def added_headers(self, client_account):
        return b""

    def refusal_head(self, request_id, retry_after_s):
        return b"Retry-After: %.3f\r\n" % retry_after_s


class _Exchange(callers.Exchange):
    def __init__(self, **headers):
        super().__init__(typing.cast(callers.CallerConnection, _Connection()))
        self.method = b"GET"
        self.target = b"/stock/1"
        self.headers = [
            (name.encode(), value) for name, value in headers.items()
        ]

    @property
    def status(self):
        return int(self.answer.split()[1]) if self.answered else None


class _Connection:
    closing = False

    def flush(self):
        pass


class _Target:
    """A daemon with a fixed outcome; without one, calls stay pending."""

    def __init__(self, outcome=None):
        self.outcome = outcome
        self.given = []
        self.handles = []

    def submit(self, call, callback):
        handle = samples.CancelHandle()
        self.given.append((call, callback))
        self.handles.append(handle)
        if self.outcome is not None:
            callback(self.outcome)
        return handle


class _LoadBalancer:
    """Chooses daemons in a fixed order."""

    def __init__(self, names):
        self.names = names
        self.part = admission.FULL_SHARE

    def choose(self, call, tried):
        for name in self.names:
            if name not in tried:
                return loadbalancer.Candidate(name, True, 10, False, None)
        return loadbalancer.NO_DAEMON

    def share(self, service, route):
        return outcomes.Share(self.part, service)

    def record_dispatch(self, daemon):
        pass

    def record_outcome(self, daemon, outcome):
        pass

    def record_latency(self, daemon, route, took_s):
        pass


class _Harness:
    def __init__(self, targets, idempotent=True, rate_per_s=0.0, reserve=5.0):
        self.clock = fakes.create_clock()
        self.timers = timers.create_manual_timer_service(self.clock)
        self.targets = targets
        self.parents = {}
        self.takes_calls = True
        self.work_ends_s = math.inf
        route = samples.route(idempotent=idempotent)
        open_route = samples.route(
            name="open", prefix="/open/", open_to_all=True, priority=2
        )
        account = calls.ClientAccount("maruyama", None, rate_per_s, rate_per_s)
        configuration = calls.Configuration(
            version=3,
            routes={"shop.example": (route, open_route)},
            accounts={"maruyama": account},
            keys={"k": "maruyama"},
            max_connections={},
            limits=calls.CallerLimits(),
            document=b"",
        )
        self.catalog = catalog.create_catalog(lambda document: configuration)
        self.catalog.offer(b"", "test")
        self.load_balancer = _LoadBalancer(list(targets))
        self.lender = lender.create_lender(self.clock)
        self.lender_answers = True
        self.allowance = allowance.create_allowance(
            allowance.Parts(self.clock, lambda: 1, self._ask_lender)
        )
        self.callees = admission.create_callees(
            self.clock, self.load_balancer.share
        )
        self.ingress = ingress.create_ingress(
            forwarding.Parts(
                codec=_Codec(),
                catalog=self.catalog,
                allowance=self.allowance,
                load_balancer=typing.cast(
                    loadbalancer.LoadBalancer, self.load_balancer
                ),
                target=self.targets.__getitem__,
                budget=retrybudget.create_retry_budget(
                    retrybudget.Terms(0.0, reserve, 100.0, 10.0),
                    retrybudget.Parts(self.clock, lambda: 1, lambda: 0.5),
                ),
                callees=self.callees,
                admission=admission.create_admission(
                    self.clock, self.load_balancer.share
                ),
                running=self.parents.get,
                split=splitting.create_split(),
                counters=counters.create_counters(),
                timers=self.timers,
                random_fraction=lambda: 0.5,
                takes_calls=lambda: self.takes_calls,
                work_ends_s=lambda: self.work_ends_s,
                route_times=servicetimes.ServiceTimes(),
            )
        )

    def _ask_lender(self, need):
        if self.lender_answers:
            accounts = self.catalog.current.accounts
            self.allowance.borrow(self.lender.lend("me", need, accounts, 1))

    def send(self, **headers):
        headers.setdefault("key", b"k")
        exchange = _Exchange(**headers)
        self.ingress.handle(exchange)
        return exchange

    def wait(self, seconds):
        self.clock.advance(seconds)
        self.timers.run_due()


def test_an_answer_is_passed_on_as_it_is():
    harness = _Harness({"a": _Target(_RAN)})
    exchange = harness.send()
    assert exchange.status == 200
    assert exchange.answer.endswith(b"whole")


def test_what_did_not_run_goes_to_the_next_daemon():
    second = _Target(_RAN)
    harness = _Harness(
        {"a": _Target(outcomes.NotRun("overloaded")), "b": second}
    )
    assert harness.send().status == 200
    assert len(second.given) == 1


@pytest.mark.parametrize("idempotent", [True, False])
def test_what_may_have_run_is_repeated_only_where_it_may_run_twice(idempotent):
    second = _Target(_RAN)
    harness = _Harness(
        {"a": _Target(outcomes.Lost("daemon-lost")), "b": second},
        idempotent=idempotent,
    )
    exchange = harness.send()
    assert exchange.status == (200 if idempotent else 502)
    assert len(second.given) == (1 if idempotent else 0)


def test_a_refusal_after_a_loss_does_not_claim_that_nothing_ran():
    harness = _Harness(
        {
            "a": _Target(outcomes.Lost("daemon-lost")),
            "b": _Target(outcomes.NotRun("overloaded")),
        }
    )
    assert harness.send().status == 502


def test_no_more_backend_servers_are_reached_than_the_route_allows():
    targets = {name: _Target(outcomes.Lost("garbled")) for name in "abcd"}
    harness = _Harness(targets)
    assert harness.send().status == 502
    assert sum(len(target.given) for target in targets.values()) == 2


def test_repeats_end_with_the_budget():
    targets = {name: _Target(outcomes.Lost("garbled")) for name in "ab"}
    harness = _Harness(targets, reserve=0.0)
    harness.send()
    assert len(targets["b"].given) == 0


def test_a_refused_caller_learns_when_to_come_back_within_its_time():
    harness = _Harness({"a": _Target(outcomes.NotRun("overloaded", 9.0))})
    exchange = harness.send(left=b"3")
    assert exchange.status == 503
    later_s = float(exchange.answer.split(b"Retry-After: ")[1].split()[0])
    assert 0 < later_s <= 1.0


def test_a_call_past_its_time_is_answered_then_and_taken_back():
    target = _Target()
    harness = _Harness({"a": target})
    exchange = harness.send(left=b"2")
    harness.wait(1.9)
    assert not exchange.answered
    harness.wait(0.2)
    assert exchange.status == 504
    assert target.handles[0].cancelled


def test_an_answer_after_the_end_changes_nothing():
    target = _Target()
    harness = _Harness({"a": target})
    exchange = harness.send(left=b"1")
    harness.wait(1.5)
    target.given[0][1](_RAN)
    assert exchange.status == 504


def test_a_caller_that_left_has_its_call_taken_back():
    target = _Target()
    harness = _Harness({"a": target})
    exchange = harness.send()
    exchange.on_disconnect()
    assert target.handles[0].cancelled


def test_an_account_over_its_rate_is_told_when_to_come_back():
    harness = _Harness({"a": _Target(_RAN)}, rate_per_s=2.0)
    statuses = [harness.send().status for _ in range(6)]
    assert statuses[0] == 200
    assert statuses[-1] == 429


def test_a_key_that_nobody_holds_is_turned_away():
    harness = _Harness({"a": _Target(_RAN)})
    assert harness.send(key=b"x").status == 401
    assert harness.send(key=b"").status == 401


def test_a_daemon_without_a_configuration_refuses_for_now():
    harness = _Harness({"a": _Target(_RAN)})
    harness.catalog._current = catalog.NO_CONFIGURATION
    assert harness.send().status == 503


def test_a_child_call_has_the_class_of_the_request_it_was_made_for():
    target = _Target(_RAN)
    harness = _Harness({"a": target})
    harness.parents["p"] = samples.call(priority=3, client_account="maruyama")
    exchange = _Exchange(id=b"p.1")
    exchange.target = b"/open/x"
    harness.ingress.handle(exchange)
    call = target.given[0][0]
    assert call.priority == admission.class_of_child(3)
    assert call.client_account == "maruyama"


def test_a_call_of_no_known_request_is_the_last_of_the_child_calls():
    target = _Target(_RAN)
    harness = _Harness({"a": target})
    exchange = _Exchange(id=b"unknown.1")
    exchange.target = b"/open/x"
    harness.ingress.handle(exchange)
    assert target.given[0][0].priority == admission.UNKNOWN_CHILD


def test_a_daemon_near_its_end_refuses_what_enters_and_not_what_is_called():
    # Guards against a request that is accepted 4.95 s after SIGTERM and cut off
    # when the drain timeout ends.
    target = _Target(_RAN)
    harness = _Harness({"a": target})
    harness.takes_calls = False
    exchange = harness.send()
    assert exchange.status == 503
    assert target.given == []
    child = _Exchange(id=b"p.1")
    child.target = b"/open/x"
    harness.ingress.handle(child)
    assert child.status == 200


def _send_open(harness, name=b"p.1"):
    exchange = _Exchange(id=name, left=b"9")
    exchange.target = b"/open/x"
    harness.ingress.handle(exchange)
    return exchange


def test_a_call_that_enters_during_a_shutdown_ends_before_the_daemon():
    # Calls of a backend server were passed on with the deadline of their
    # caller, and cut as the daemon ended.
    target = _Target()
    harness = _Harness({"a": target})
    harness.work_ends_s = harness.clock.now_s() + 2.0
    _send_open(harness)
    harness.send(left=b"9")
    harness.send(left=b"1")
    ends_s = [call.deadline_s for call, _ in target.given]
    assert ends_s[:2] == [harness.work_ends_s] * 2
    assert ends_s[2] < harness.clock.now_s() + 1.0


def test_a_call_is_refused_if_its_route_takes_longer_than_is_left():
    target = _Target()
    harness = _Harness({"a": target})
    _send_open(harness)
    harness.wait(0.4)
    target.given[0][1](_RAN)
    harness.work_ends_s = harness.clock.now_s() + 1.0
    assert not _send_open(harness).answered
    harness.wait(0.5)
    refused = _send_open(harness)
    assert refused.status == 503
    assert b"Retry-After" in refused.answer
    assert len(target.given) == 2


def test_a_daemon_that_ends_says_that_a_call_may_have_run():
    target = _Target()
    harness = _Harness({"a": target})
    exchange = harness.send()
    exchange.on_shutdown()
    assert exchange.status == 502
    assert target.handles[0].cancelled


def test_a_daemon_that_ends_says_that_a_call_without_a_token_did_not_run():
    target = _Target()
    harness = _Harness({"a": target}, rate_per_s=2.0)
    harness.clock.advance(2.0)
    harness.lender_answers = False
    exchange = harness.send()
    exchange.on_shutdown()
    assert exchange.status == 503
    harness.allowance.borrow(frames.Loan({"maruyama": 1}, {}))
    assert target.given == []


def test_a_token_that_comes_too_late_in_a_shutdown_starts_nothing():
    target = _Target()
    harness = _Harness({"a": target}, rate_per_s=2.0)
    harness.clock.advance(2.0)
    harness.lender_answers = False
    exchange = harness.send()
    harness.work_ends_s = harness.clock.now_s() + 0.2
    harness.wait(0.3)
    harness.allowance.borrow(frames.Loan({"maruyama": 1}, {}))
    assert exchange.status == 503
    assert target.given == []


def test_a_call_without_a_token_waits_for_the_lenders_word():
    harness = _Harness({"a": _Target(_RAN)}, rate_per_s=2.0)
    harness.clock.advance(2.0)
    harness.lender_answers = False
    exchange = harness.send()
    assert exchange.answer is None
    loan = harness.lender.lend(
        "me",
        frames.LoanRequest({"maruyama": 1}, {}),
        harness.catalog.current.accounts,
        1,
    )
    harness.allowance.borrow(loan)
    assert exchange.status == 200


def test_a_caller_that_leaves_while_it_waits_for_a_token_starts_nothing():
    target = _Target(_RAN)
    harness = _Harness({"a": target}, rate_per_s=2.0)
    harness.clock.advance(2.0)
    harness.lender_answers = False
    exchange = harness.send()
    exchange.on_disconnect()
    harness.allowance.borrow(frames.Loan({"maruyama": 1}, {}))
    assert target.given == []


def test_time_spent_waiting_for_a_token_is_taken_off_the_callers():
    target = _Target(_RAN)
    harness = _Harness({"a": target}, rate_per_s=2.0)
    harness.lender_answers = False
    arrived_s = harness.clock.now_s()
    harness.send()
    harness.clock.advance(0.1)
    harness.allowance.borrow(frames.Loan({"maruyama": 1}, {}))
    assert target.given[0][0].deadline_s <= arrived_s + 5.0


def test_a_silent_lender_is_no_reason_to_say_over_the_limit():
    harness = _Harness({"a": _Target(_RAN)}, rate_per_s=2.0)
    harness.lender_answers = False
    exchange = harness.send()
    harness.clock.advance(0.3)
    harness.allowance.sweep()
    assert exchange.status == 503


def test_who_is_refused_comes_back_while_the_answer_is_worth_most():
    # A Retry-After of one second made callers with a target latency of 1.2 s
    # retry too late: 885 of 13,997 reads were answered late.
    harness = _Harness({"a": _Target(_RAN)})
    harness.load_balancer.part = 0.0
    later = []
    for _ in range(30):
        harness.clock.advance(0.1)
        exchange = harness.send()
        if exchange.status == 503:
            later.append(_retry_after(exchange))
    patience_s = samples.route().target_latency_s
    assert later
    assert max(later) <= 0.6 * patience_s
    assert min(later) > 0


def _retry_after(exchange):
    head = exchange.answer.partition(b"\r\n\r\n")[0]
    _, _, rest = head.partition(b"Retry-After: ")
    return float(rest.partition(b"\r\n")[0])


def test_a_line_names_the_daemon_that_was_asked_beside_the_one_that_wrote_it():
    # Guards against a log line that names the asked daemon in the field
    # `daemon`, which names the daemon that wrote the line.
    harness = _Harness(
        {"a": _Target(outcomes.NotRun("draining")), "b": _Target(_RAN)}
    )
    with testing.capture_logs() as lines:
        harness.send()
    sent = [line for line in lines if line["event"] == "call_sent_elsewhere"]
    assert [line["asked"] for line in sent] == ["a"]
    assert "daemon" not in sent[0]


def test_a_call_that_did_not_run_costs_its_account_no_token():
    refusal = outcomes.NotRun(outcomes.OVERLOADED, elsewhere=False)
    harness = _Harness({"a": _Target(refusal)}, rate_per_s=5.0)
    harness.wait(1.0)
    found = [harness.send().status for _ in range(20)]
    assert found == [503] * 20


def test_a_call_that_may_have_run_costs_its_account_a_token():
    lost = outcomes.Lost(outcomes.DAEMON_LOST)
    harness = _Harness({"a": _Target(lost)}, rate_per_s=5.0, idempotent=False)
    harness.wait(1.0)
    found = [harness.send().status for _ in range(20)]
    assert 429 in found
