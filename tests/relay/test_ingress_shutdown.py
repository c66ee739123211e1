"""What enters while a daemon shuts down is answered, or refused truly."""

from savorybend.relay import frames
from tests.relay import ingresses


def test_a_daemon_near_its_end_refuses_what_enters_and_not_what_is_called():
    # Guards against a request that is accepted 4.95 s after SIGTERM and cut off
    # when the drain timeout ends.
    target = ingresses.Target(ingresses.RAN)
    harness = ingresses.Harness({"a": target})
    harness.takes_calls = False
    exchange = harness.send()
    assert exchange.status == 503
    assert target.given == []
    child = ingresses.Exchange(id=b"p.1")
    child.target = b"/open/x"
    harness.ingress.handle(child)
    assert child.status == 200


def _send_open(harness, name=b"p.1"):
    exchange = ingresses.Exchange(id=name, left=b"9")
    exchange.target = b"/open/x"
    harness.ingress.handle(exchange)
    return exchange


def test_a_call_that_enters_during_a_shutdown_ends_before_the_daemon():
    # Calls of a backend server were passed on with the deadline of their
    # caller, and cut as the daemon ended.
    target = ingresses.Target()
    harness = ingresses.Harness({"a": target})
    harness.work_ends_s = harness.clock.now_s() + 2.0
    _send_open(harness)
    harness.send(left=b"9")
    harness.send(left=b"1")
    ends_s = [call.deadline_s for call, _ in target.given]
    assert ends_s[:2] == [harness.work_ends_s] * 2
    assert ends_s[2] < harness.clock.now_s() + 1.0


def test_a_call_is_refused_if_its_route_takes_longer_than_is_left():
    target = ingresses.Target()
    harness = ingresses.Harness({"a": target})
    _send_open(harness)
    harness.wait(0.4)
    target.given[0][1](ingresses.RAN)
    harness.work_ends_s = harness.clock.now_s() + 1.0
    assert not _send_open(harness).answered
    harness.wait(0.5)
    refused = _send_open(harness)
    assert refused.status == 503
    assert b"Retry-After" in refused.answer
    assert len(target.given) == 2


def test_a_daemon_that_ends_says_that_a_call_may_have_run():
    target = ingresses.Target()
    harness = ingresses.Harness({"a": target})
    exchange = harness.send()
    exchange.on_shutdown()
    assert exchange.status == 502
    assert target.handles[0].cancelled


def test_a_daemon_that_ends_says_that_a_call_without_a_token_did_not_run():
    target = ingresses.Target()
    harness = ingresses.Harness({"a": target}, rate_per_s=2.0)
    harness.clock.advance(2.0)
    harness.lender_answers = False
    exchange = harness.send()
    exchange.on_shutdown()
    assert exchange.status == 503
    harness.allowance.borrow(frames.Loan({"maruyama": 1}, {}))
    assert target.given == []


def test_a_token_that_comes_too_late_in_a_shutdown_starts_nothing():
    target = ingresses.Target()
    harness = ingresses.Harness({"a": target}, rate_per_s=2.0)
    harness.clock.advance(2.0)
    harness.lender_answers = False
    exchange = harness.send()
    harness.work_ends_s = harness.clock.now_s() + 0.2
    harness.wait(0.3)
    harness.allowance.borrow(frames.Loan({"maruyama": 1}, {}))
    assert exchange.status == 503
    assert target.given == []
