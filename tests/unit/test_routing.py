"""Whatever the daemons answer, tries are few and the outcome is true."""

import asyncio
import random

import hypothesis
import pytest
from hypothesis import strategies

from savorybend.internal import bodies
from savorybend.internal import calls
from savorybend.internal import headers
from savorybend.internal import loadbalancing
from savorybend.internal import members
from savorybend.internal import outcomes
from savorybend.internal import routing
from tests import fakes
from tests import requests

_NAMES = ("back-1", "back-2", "back-3")


def _record(name, service="back"):
    address = "127.0.0.1:1"
    return members.Record(
        name, 1, "east", service, address, address, address, name
    )


def _directory():
    directory = members.create_directory(_record("front-1", "front"))
    for name in _NAMES:
        directory.put(_record(name))
    return directory


class _Fleet:
    """Daemons that give scripted answers, one after the other."""

    def __init__(self, script):
        self._script = iter(script)
        self.given = []
        self.names = []

    def target(self, name):
        self.names.append(name)
        return self

    async def execute(self, call, body):
        answer = next(self._script)
        # Nobody spends more than it was lent.
        spent = min(answer.retries_spent, call.retries)
        answer = answer._replace(retries_spent=spent)
        self.given.append((call, answer))
        return answer


def _daemon_lost(answer):
    return answer.reason == outcomes.ANSWER_LOST.name


_refused = strategies.sampled_from(
    [outcomes.ELSEWHERE, outcomes.NO_BACKEND_SERVER, outcomes.OVERLOADED]
).map(lambda r: calls.create_not_run_answer(outcomes.refuse(r), "x", "back-1"))


@strategies.composite
def _answers(draw):
    if draw(strategies.booleans()):
        return draw(_refused)
    if draw(strategies.booleans()):
        # The daemon is lost, with its count of the retries it used.
        return calls.create_own_answer(
            outcomes.Outcome.UNKNOWN, outcomes.ANSWER_LOST, "x", "front-1"
        )
    lost = draw(strategies.booleans())
    answer = calls.create_own_answer(
        outcomes.Outcome.UNKNOWN if lost else outcomes.Outcome.RAN,
        outcomes.BACKEND_SERVER_LOST,
        "x",
        "back-1",
        retries_spent=draw(strategies.integers(0, 1)),
    )
    return answer._replace(effects=draw(strategies.booleans()))


@hypothesis.given(
    script=strategies.lists(_answers(), min_size=8, max_size=8),
    retries=strategies.integers(0, 6),
    idempotent=strategies.booleans(),
)
def test_tries_are_bounded_and_the_outcome_is_true(script, retries, idempotent):
    fleet = _Fleet(script)
    tracker = loadbalancing.create_load_balancer(
        random.Random(1), fakes.create_clock()
    )
    parts = routing.Parts(_directory(), tracker, None, fleet)
    router = routing.create_router(parts)
    call = requests.create_call(idempotent=idempotent, retries=retries)
    answer = asyncio.run(router.execute(call, bodies.EMPTY))
    given = [each for _, each in fleet.given]
    ran = [e for e in given if e.outcome is not outcomes.Outcome.NOT_RUN]
    # A lost daemon may have used all it was lent.
    below = sum(
        call.retries if _daemon_lost(each) else each.retries_spent
        for call, each in fleet.given
    )
    assert len(given) - 1 + below == answer.retries_spent
    assert answer.retries_spent <= retries
    assert len(given) <= 1 + retries
    assert (answer.outcome is outcomes.Outcome.NOT_RUN) == (not ran)
    for each in ran[:-1]:
        assert idempotent
        assert not each.effects or _daemon_lost(each)
        assert not each.retries_spent
    lost = [e for e in ran if e.outcome is outcomes.Outcome.UNKNOWN]
    # A third backend server must not die of the request.
    assert len(lost) <= 2


def _execute(script, call):
    fleet = _Fleet(script)
    tracker = loadbalancing.create_load_balancer(
        random.Random(1), fakes.create_clock()
    )
    parts = routing.Parts(_directory(), tracker, None, fleet)
    answer = asyncio.run(
        routing.create_router(parts).execute(call, bodies.EMPTY)
    )
    return answer, fleet


@pytest.mark.parametrize(("retries", "tries"), [(0, 1), (1, 1), (2, 2), (3, 2)])
def test_a_lost_daemon_is_replaced_within_the_budget(retries, tries):
    lost = calls.create_own_answer(
        outcomes.Outcome.UNKNOWN, outcomes.ANSWER_LOST, "x", "front-1"
    )
    call = requests.create_lookup(retries=retries)
    answer, fleet = _execute([lost] * 3, call)
    assert len(fleet.given) == tries
    assert answer.reason == "answer-lost"
    _, fleet = _execute([lost] * 3, requests.create_call(retries=retries))
    assert len(fleet.given) == 1


def _suspect(tried_by):
    refusal = outcomes.refuse(outcomes.SUSPECT)
    answer = calls.create_not_run_answer(refusal, "x", "back-1")
    return answer._replace(headers=[(headers.TRIED_BY, tried_by)])


@pytest.mark.parametrize("tried_by", _NAMES)
def test_a_suspect_goes_to_the_daemon_that_tries_it_once(tried_by):
    script = [_suspect(tried_by), _suspect("back-1"), _suspect("back-2")]
    answer, fleet = _execute(script, requests.create_call())
    assert fleet.names[1:] in ([tried_by], [])
    assert tried_by in fleet.names
    # It was refused before anything ran, which is no retry.
    assert answer.retries_spent == 0
    assert (answer.outcome, answer.reason) == ("not-run", "suspect")


def test_a_suspect_is_given_up_where_the_daemon_named_is_not_known():
    answer, fleet = _execute([_suspect("back-9")], requests.create_lookup())
    assert len(fleet.names) == 1
    assert answer.reason == "suspect"
