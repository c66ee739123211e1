"""Tests that records run a request once and stay within their limits."""

import asyncio

from savorybend.internal import bodies
from savorybend.internal import calls
from savorybend.internal import outcomes
from savorybend.internal import records
from tests import fakes
from tests import requests

_FINGERPRINT = b"fingerprint"


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


def _create(max_records=10, size=100):
    limits = records.Limits(max_records, size)
    return records.create_records("back-1", fakes.create_clock(), limits)


async def _run(store, request_id, data=b"x"):
    async def work():
        return _answer(data)

    return await store.run(
        requests.create_call(request_id=request_id), _FINGERPRINT, work
    )


async def test_a_dropped_body_is_reported_as_not_kept():
    store = _create(size=10)
    await _run(store, "a", b"x" * 8)
    await _run(store, "b", b"y" * 8)
    again = await _run(store, "a")
    assert again.outcome is outcomes.Outcome.RAN
    assert again.reason == outcomes.ANSWER_NOT_KEPT.name
    assert (await _run(store, "b")).body.whole == b"y" * 8


async def test_the_oldest_finished_records_are_evicted_but_not_running_ones():
    store = _create(max_records=3)
    may_finish = asyncio.Event()

    async def slow():
        await may_finish.wait()
        return _answer(b"slow")

    running = asyncio.create_task(
        store.run(requests.create_call(request_id="slow"), _FINGERPRINT, slow)
    )
    await asyncio.sleep(0)
    for number in range(10):
        await _run(store, str(number))
    assert store.find("slow")
    assert [bool(store.find(str(n))) for n in (6, 7, 9)] == [False, True, True]
    may_finish.set()
    assert (await running).body.whole == b"slow"


async def test_a_forbidden_request_is_not_run():
    store = _create()
    store.forbid("a")
    answer = await _run(store, "a")
    assert answer.outcome is outcomes.Outcome.NOT_RUN
    assert answer.reason == outcomes.NEVER_SEEN.name


async def test_a_run_that_raises_is_unknown():
    store = _create()

    async def broken():
        raise KeyError("bug")

    answer = await store.run(
        requests.create_call(request_id="a"), _FINGERPRINT, broken
    )
    assert answer.outcome is outcomes.Outcome.UNKNOWN
