"""What callers are told when backend servers stutter, at real daemons."""

import asyncio
import itertools
import typing

import pytest

from standins import stutter
from tests.platform import fleets

_PROMISES = (408, 421, 429, 503)
_OWN_STATUSES = (*_PROMISES, 502, 504)
_FIRST_REDIRECT = 300
_MOST_CALLS = 1000
_ANSWERS = ("200", "shed", "500")
# Calls that a backend server answered, in each test.
_LEAST_ANSWERED = 20
# A copy comes this long before the answer of the request that runs.
_RUNS_S = 0.01
# Until the daemon has read what was written before a connection ends.
_READ_S = 0.01


class _Told(typing.NamedTuple):
    """What a caller was told.

    Attributes:
        request_id: ID of the call.
        method: Its method.
        before: Number of answers of all servers before it.
        status: The status.
        named_id: The request ID of the answer.
        proof: The proof of the answer; empty without one.
        body: The body.
    """

    request_id: str
    method: str
    before: int
    status: int
    named_id: str
    proof: str
    body: bytes


class _Stuttering:
    """A fleet whose backend servers stutter, and what its callers were told."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.told = []
        self._answers = []
        self._numbers = itertools.count()

    def set_plan(self, plan):
        """Sets what all backend servers write."""

        def noted(request, answer):
            self._answers.append(answer)
            return plan(request, answer)

        for machine in self.fleet.machines:
            machine.worker.plan = noted

    async def call(self, machine, path, method="GET", request_id=""):
        """Sends a call; returns what its caller was told."""
        request_id = request_id or f"c-{next(self._numbers)}"
        before = len(self._answers)
        status, headers, body = await self.fleet.call(
            machine, path, request_id, method
        )
        proof = headers.get("Response-Signature", "")
        named_id = headers.get("Request-Id", "")
        told = _Told(request_id, method, before, status, named_id, proof, body)
        self.told.append(told)
        return told

    async def call_until(self, done, answers=_ANSWERS):
        """Sends calls at two daemons until a condition.

        Args:
            done: The condition.
            answers: What the servers answer in turn, to reads and posts.
        """
        await asyncio.gather(
            *[
                self._call_until(self.fleet.machines[number], done, answers)
                for number in (0, 2)
            ]
        )

    async def _call_until(self, machine, done, answers):
        routes = (("/reads", "GET"), ("/posts", "POST"))
        kinds = itertools.cycle(itertools.product(routes, answers))
        # The most calls keep a fault that never occurs from a long run.
        for number in range(_MOST_CALLS):
            if done():
                return
            (route, method), answer = next(kinds)
            path = f"{route}/{number}?answer={answer}"
            await self.call(machine, path, method)
        raise AssertionError("the fault didn't occur often enough")

    def check(self):
        """Checks all that callers were told."""
        wrong = [one for one in self.told if self._is_wrong(one)]
        assert wrong == []
        answered = [one for one in self.told if one.proof]
        assert len(answered) >= _LEAST_ANSWERED

    def _is_wrong(self, told):
        later = [
            one.before
            for one in self.told
            if one.request_id == told.request_id and one.before > told.before
        ]
        since = self._answers[told.before : min(later, default=None)]
        own = [one for one in since if one.request_id == told.request_id]
        runs = [one for one in own if one.executed]
        if told.method == "POST" and len(runs) > 1:
            return True
        if told.named_id != told.request_id:
            return True
        if told.proof or told.status < _FIRST_REDIRECT:
            found = (told.status, told.proof, told.body)
            return found not in [
                (one.status, one.proof, one.body) for one in runs
            ]
        if told.status in _PROMISES and runs:
            return True
        return told.status not in _OWN_STATUSES


class _LateCopies:
    """Writes an earlier answer once more as the next request arrives.

    Attributes:
        written: Number of copies so far.
    """

    def __init__(self, copies, wait_s=0.0):
        self.written = 0
        self._different = len(copies)
        self._copies = itertools.cycle(copies)
        self._wait_s = wait_s

    def all_written(self):
        """Returns whether each kind of copy was written."""
        return self.written >= self._different

    def __call__(self, request, answer):
        if not request.earlier:
            return [answer.data]
        self.written += 1
        copy = next(self._copies)(request.earlier[-1])
        if self._wait_s:
            return [copy, self._wait_s, answer.data]
        return [copy + answer.data]


def _head_cut(cut):
    """Returns a copier of the first bytes of a head."""
    return lambda answer: answer.head[:cut]


def _same(answer):
    return answer.data


def _refusal(answer):
    return answer._replace(status=503, executed=False).data


def _unnamed(answer):
    return answer._replace(request_id="").data


def _unnamed_refusal(answer):
    return _refusal(answer._replace(request_id=""))


@pytest.fixture
async def stuttering(tmp_path):
    async with fleets.running(
        tmp_path,
        ["ledger", "ledger", "shop"],
        create_worker=stutter.StutteringWorker,
    ) as fleet:
        yield _Stuttering(fleet)


@pytest.mark.parametrize(
    ("copiers", "answers"),
    [
        ([_same, _refusal], _ANSWERS),
        ([_unnamed], _ANSWERS),
        ([_unnamed_refusal], ("200",)),
    ],
    ids=["named", "unnamed", "unnamed-refusal"],
)
async def test_an_earlier_answer_written_once_more_answers_nothing(
    stuttering, copiers, answers
):
    # Fills the retry budget, so that what was refused is sent elsewhere.
    stuttering.set_plan(stutter.sound)
    await stuttering.call_until(lambda: len(stuttering.told) >= 100, ("200",))
    copies = _LateCopies(copiers, _RUNS_S)
    stuttering.set_plan(copies)
    await stuttering.call_until(lambda: copies.written >= 60, answers)
    stuttering.check()


async def test_an_earlier_head_broken_off_at_any_byte_gives_no_status(
    stuttering,
):
    cuts = [_head_cut(cut) for cut in range(1, 120)]
    for wait_s in (0.0, _RUNS_S):
        copies = _LateCopies(cuts, wait_s)
        stuttering.set_plan(copies)
        await stuttering.call_until(copies.all_written)
    stuttering.check()


async def test_a_head_broken_off_at_any_byte_is_no_success(stuttering):
    places = [*itertools.product(range(1, 120, 2), stutter.End)]
    # On connections that are new, and on those that carried a request.
    cuts = {kept: iter(places) for kept in (False, True)}
    broken = []

    def plan(request, answer):
        kept = bool(request.earlier)
        if not kept and broken.count(False) > broken.count(True):
            return [answer.data]
        cut, end = next(cuts[kept], places[0])
        broken.append(kept)
        return [answer.head[:cut], _READ_S, end]

    def done():
        return all(broken.count(one) >= len(places) for one in cuts)

    stuttering.set_plan(plan)
    await stuttering.call_until(done)
    stuttering.check()


async def test_a_body_broken_off_is_no_success(stuttering):
    framings = [
        *itertools.product(("data", "chunked"), stutter.End),
        # Its end is the connection's, so only a reset breaks it off.
        ("endless", stutter.End.RESET),
    ]
    answered = []

    def plan(request, answer):
        number = len(answered)
        answered.append(request.request_id)
        framing, end = framings[number % len(framings)]
        written = getattr(answer, framing)
        if number % 3 == 0:
            return [written, _READ_S, stutter.End.CLOSE]
        return [written[: -1 - number % 12], _READ_S, end]

    stuttering.set_plan(plan)
    await stuttering.call_until(lambda: len(answered) >= 180)
    stuttering.check()


async def test_what_an_idle_connection_gets_answers_no_later_request(
    stuttering,
):
    copiers = [
        _same,
        _refusal,
        _unnamed_refusal,
        *[_head_cut(cut) for cut in (1, 12, 20, 40, 60)],
    ]
    answered = []

    def plan(request, answer):
        number = len(answered)
        answered.append(request.request_id)
        # Before, at and after the moment when the next request is sent.
        wait_s = (0.0001, 0.002, 0.004, 0.008)[number % 4]
        copier = copiers[number % len(copiers)]
        return [answer.data, wait_s, copier(answer), _READ_S]

    stuttering.set_plan(plan)
    await stuttering.call_until(lambda: len(answered) >= 200)
    stuttering.check()


async def test_a_child_call_sent_twice_gets_its_own_answer(stuttering):
    copies = _LateCopies([_same], _RUNS_S)
    stuttering.set_plan(copies)
    for number in range(15):
        for machine in stuttering.fleet.machines:
            child = f"parent-{machine.name}-{number}.a"
            for answer in ("200", "500", "200"):
                path = f"/open/{number}?answer={answer}"
                await stuttering.call(machine, path, request_id=child)
    assert copies.written >= 15
    stuttering.check()
