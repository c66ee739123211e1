"""A child call of a request that is run again is started once."""

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
    """Counts what it was given."""

    def __init__(self):
        self.given = []

    async def execute(self, call, body):
        self.given.append(call)
        return calls.create_own_answer(
            outcomes.Outcome.RAN, outcomes.INTERNAL, call.request_id, "back-1"
        )


def _create(most=100):
    clock = fakes.create_clock()
    service = timers.create_manual_timer_service(clock)
    kept = records.create_records("front-1", clock, records.Limits(most))
    target = _Target()
    made = childcalls.ChildCalls("front-1", service, kept, target)
    return made, target, clock, service


def _call(number, root=_ROOT):
    return requests.create_call(
        request_id=f"{root}/{number}", depth=1, repeatable=True
    )


async def test_a_child_made_twice_runs_once_and_both_have_the_answer():
    made, target, _, _ = _create()
    with made.allow(_ROOT):
        answers = await asyncio.gather(
            *(made.execute(_call(1), _BODY) for _ in range(3))
        )
        late = await made.execute(_call(1), _BODY)
        other = await made.execute(_call(1), bodies.WholeBody(b"4 crates"))
    assert {answer.outcome for answer in (*answers, late)} == {"ran"}
    assert (other.outcome, other.reason) == ("unknown", "request-id-reused")
    [given] = target.given
    # It goes on to whoever serves it, who must not ask the issuer again.
    assert not given.repeatable


async def test_what_the_records_forget_is_not_started_again():
    made, target, _, _ = _create(most=1)
    with made.allow(_ROOT):
        for number in (1, 2, 1):
            answer = await made.execute(_call(number), _BODY)
    assert (answer.outcome, answer.reason) == ("unknown", "record-gone")
    assert len(target.given) == 2


async def test_nothing_is_started_for_a_request_that_is_over():
    made, target, clock, service = _create()
    with made.allow(_ROOT):
        pass
    other = "front-1.1.2"
    made.allow_until(other, clock.now_s() + 1.0)
    assert (await made.execute(_call(1, other), _BODY)).outcome == "ran"
    clock.advance(1.0)
    service.run_due()
    for root in (_ROOT, other):
        answer = await made.execute(_call(2, root), _BODY)
        assert (answer.outcome, answer.reason) == ("unknown", "record-gone")
    assert len(target.given) == 1
