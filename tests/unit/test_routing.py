"""The router bounds its attempts and reports outcomes correctly."""

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


class _ScriptedForwarder:
    """A forwarder whose daemons give scripted answers in order."""

    def __init__(self, script):
        self._script = iter(script)
        self.executed = []
        self.names = []

    def target(self, name):
        self.names.append(name)
        return self

    async def execute(self, call, body):
        answer = next(self._script)
        # A daemon uses no more retries than the call carries.
        spent = min(answer.retries_spent, call.retries)
        answer = answer._replace(retries_spent=spent)
        self.executed.append((call, answer))
        return answer


def _is_daemon_lost(answer):
    return answer.reason == outcomes.ANSWER_LOST.name


_refused = strategies.sampled_from(
    [outcomes.ELSEWHERE, outcomes.NO_BACKEND_SERVER, outcomes.OVERLOADED]
).map(lambda r: calls.create_not_run_answer(outcomes.refuse(r), "x", "back-1"))


@strategies.composite
def _answers(draw):
    if draw(strategies.booleans()):
        return draw(_refused)
    if draw(strategies.booleans()):
        # The connection to the daemon is lost, so its number of used retries
        # is unknown.
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
def test_attempts_are_bounded_and_the_outcome_is_correct(
    script, retries, idempotent
):
    forwarder = _ScriptedForwarder(script)
    load_balancer = loadbalancing.create_load_balancer(
        random.Random(1), fakes.create_clock()
    )
    parts = routing.Parts(_directory(), load_balancer, None, forwarder)
    router = routing.create_router(parts)
    call = requests.create_call(idempotent=idempotent, retries=retries)
    answer = asyncio.run(router.execute(call, bodies.EMPTY))
    answers = [one_answer for _, one_answer in forwarder.executed]
    ran = [e for e in answers if e.outcome is not outcomes.Outcome.NOT_RUN]
    # A lost daemon may have used all retries that it was given.
    below = sum(
        call.retries
        if _is_daemon_lost(one_answer)
        else one_answer.retries_spent
        for call, one_answer in forwarder.executed
    )
    assert len(answers) - 1 + below == answer.retries_spent
    assert answer.retries_spent <= retries
    assert len(answers) <= 1 + retries
    assert (answer.outcome is outcomes.Outcome.NOT_RUN) == (not ran)
    for one_answer in ran[:-1]:
        assert idempotent
        assert not one_answer.effects or _is_daemon_lost(one_answer)
        assert not one_answer.retries_spent
    lost = [e for e in ran if e.outcome is outcomes.Outcome.UNKNOWN]
    # At most two backend servers may crash on one request.
    assert len(lost) <= 2


def _execute(script, call):
    forwarder = _ScriptedForwarder(script)
    load_balancer = loadbalancing.create_load_balancer(
        random.Random(1), fakes.create_clock()
    )
    parts = routing.Parts(_directory(), load_balancer, None, forwarder)
    answer = asyncio.run(
        routing.create_router(parts).execute(call, bodies.EMPTY)
    )
    return answer, forwarder


@pytest.mark.parametrize(
    ("retries", "attempts"), [(0, 1), (1, 1), (2, 2), (3, 2)]
)
def test_a_lost_daemon_is_replaced_within_the_budget(retries, attempts):
    lost = calls.create_own_answer(
        outcomes.Outcome.UNKNOWN, outcomes.ANSWER_LOST, "x", "front-1"
    )
    call = requests.create_lookup(retries=retries)
    answer, forwarder = _execute([lost] * 3, call)
    assert len(forwarder.executed) == attempts
    assert answer.reason == "answer-lost"
    _, forwarder = _execute([lost] * 3, requests.create_call(retries=retries))
    assert len(forwarder.executed) == 1


def _redirect_to(tried_by):
    refusal = outcomes.refuse(outcomes.SUSPECT)
    answer = calls.create_not_run_answer(refusal, "x", "back-1")
    return answer._replace(headers=[(headers.TRIED_BY, tried_by)])


@pytest.mark.parametrize("tried_by", _NAMES)
def test_a_suspected_request_is_redirected_once(tried_by):
    script = [
        _redirect_to(tried_by),
        _redirect_to("back-1"),
        _redirect_to("back-2"),
    ]
    answer, forwarder = _execute(script, requests.create_call())
    assert forwarder.names[1:] in ([tried_by], [])
    assert tried_by in forwarder.names
    # Nothing had run when it was refused, so the redirect is no retry.
    assert answer.retries_spent == 0
    assert (answer.outcome, answer.reason) == ("not-run", "suspect")


def test_a_redirect_to_an_unknown_daemon_is_not_followed():
    answer, forwarder = _execute(
        [_redirect_to("back-9")], requests.create_lookup()
    )
    assert len(forwarder.names) == 1
    assert answer.reason == "suspect"
