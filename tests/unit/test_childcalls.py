"""Tests that child calls of a request that runs twice start once."""

import asyncio

from savorybend.internal import bodies
from savorybend.internal import calls
from savorybend.internal import childcalls
from savorybend.internal import outcomes
from savorybend.internal import records
from savorybend.internal import timers
from tests import fakes
from tests import requests

_ROOT = "front-1.1.1"
_BODY = bodies.WholeBody(b"3 crates")


class _Target:
    """Records the calls that it executes."""

    def __init__(self):
        self.executed = []

    async def execute(self, call, body):
        self.executed.append(call)
        return calls.create_own_answer(
            outcomes.Outcome.RAN, outcomes.INTERNAL, call.request_id, "back-1"
        )


def _create(max_records=100):
    clock = fakes.create_clock()
    service = timers.create_manual_timer_service(clock)
    child_records = records.create_records(
        "front-1", clock, records.Limits(max_records)
    )
    target = _Target()
    child_calls = childcalls.ChildCalls(
        "front-1", service, child_records, target
    )
    return child_calls, target, clock, service


def _call(number, root=_ROOT):
    return requests.create_call(
        request_id=f"{root}/{number}", depth=1, repeatable=True
    )


async def test_a_repeated_child_call_runs_once_and_all_get_its_answer():
    child_calls, target, _, _ = _create()
    with child_calls.allow(_ROOT):
        answers = await asyncio.gather(
            *(child_calls.execute(_call(1), _BODY) for _ in range(3))
        )
        late = await child_calls.execute(_call(1), _BODY)
        other = await child_calls.execute(
            _call(1), bodies.WholeBody(b"4 crates")
        )
    assert {answer.outcome for answer in (*answers, late)} == {"ran"}
    assert (other.outcome, other.reason) == ("unknown", "request-id-reused")
    [executed] = target.executed
    # The daemon that serves the call must not send it to the issuer again.
    assert not executed.repeatable


async def test_a_child_call_with_an_evicted_record_is_not_started_again():
    child_calls, target, _, _ = _create(max_records=1)
    with child_calls.allow(_ROOT):
        for number in (1, 2, 1):
            answer = await child_calls.execute(_call(number), _BODY)
    assert (answer.outcome, answer.reason) == ("unknown", "record-gone")
    assert len(target.executed) == 2


async def test_no_child_call_is_started_after_its_request_ended():
    child_calls, target, clock, service = _create()
    with child_calls.allow(_ROOT):
        pass
    other = "front-1.1.2"
    child_calls.allow_until(other, clock.now_s() + 1.0)
    assert (await child_calls.execute(_call(1, other), _BODY)).outcome == "ran"
    clock.advance(1.0)
    service.run_due()
    for root in (_ROOT, other):
        answer = await child_calls.execute(_call(2, root), _BODY)
        assert (answer.outcome, answer.reason) == ("unknown", "record-gone")
    assert len(target.executed) == 1
