"""Records run a request once and stay small."""

import asyncio

from savorybend.internal import bodies
from savorybend.internal import calls
from savorybend.internal import outcomes
from savorybend.internal import records
from tests import fakes
from tests import requests

_PRINT = b"fingerprint"


def _answer(data):
    return calls.Answer(
        200,
        [],
        outcomes.Outcome.RAN,
        "",
        0.0,
        "back-1",
        0,
        True,
        calls.NO_THRESHOLD,
        bodies.WholeBody(data),
    )


def _create(most=10, size=100):
    limits = records.Limits(most, size)
    return records.create_records("back-1", fakes.create_clock(), limits)


async def _run(kept, request_id, data=b"x"):
    async def work():
        return _answer(data)

    return await kept.run(
        requests.create_call(request_id=request_id), _PRINT, work
    )


async def test_a_long_answer_is_let_go_and_said_to_be():
    kept = _create(size=10)
    await _run(kept, "a", b"x" * 8)
    await _run(kept, "b", b"y" * 8)
    again = await _run(kept, "a")
    assert again.outcome is outcomes.Outcome.RAN
    assert again.reason == outcomes.ANSWER_NOT_KEPT.name
    assert (await _run(kept, "b")).body.whole == b"y" * 8


async def test_the_oldest_records_make_room_but_not_running_ones():
    kept = _create(most=3)
    gate = asyncio.Event()

    async def slow():
        await gate.wait()
        return _answer(b"slow")

    running = asyncio.create_task(
        kept.run(requests.create_call(request_id="slow"), _PRINT, slow)
    )
    await asyncio.sleep(0)
    for number in range(10):
        await _run(kept, str(number))
    assert kept.find("slow")
    assert [bool(kept.find(str(n))) for n in (6, 7, 9)] == [False, True, True]
    gate.set()
    assert (await running).body.whole == b"slow"


async def test_a_forbidden_request_is_not_run():
    kept = _create()
    kept.forbid("a")
    answer = await _run(kept, "a")
    assert answer.outcome is outcomes.Outcome.NOT_RUN
    assert answer.reason == outcomes.NEVER_SEEN.name


async def test_a_run_that_fails_inside_is_unknown():
    kept = _create()

    async def broken():
        raise KeyError("bug")

    answer = await kept.run(
        requests.create_call(request_id="a"), _PRINT, broken
    )
    assert answer.outcome is outcomes.Outcome.UNKNOWN
