"""Runs each request once, and keeps its answer for those who ask again.

The issuer of an ID keeps such records of the requests that it started, and
the daemon beside a backend server of those that it dispatched; the states are
in charts/execution.json.
"""

import asyncio
import collections
import collections.abc
import typing

from savorybend.internal import bodies
from savorybend.internal import calls
from savorybend.internal import charts
from savorybend.internal import outcomes
from savorybend.internal import sentinels
from savorybend.internal import timers

NO_RECORD = sentinels.create("NO_RECORD", "no record of the request is left")

_CHART = charts.load("execution")
_MOST_RECORDS = 20_000
_MOST_BYTES = 16 * 1024 * 1024

Work = collections.abc.Callable[
    [], collections.abc.Coroutine[typing.Any, typing.Any, calls.Answer]
]


class Record:
    """One request.

    Attributes:
        state: See charts/execution.json.
        fingerprint: Tells this request from another one under its ID.
        answer: Its answer, once there is one; the body may be gone.
        task: Its run, while it runs.
    """

    __slots__ = ("state", "fingerprint", "answer", "task")

    def __init__(self, fingerprint: bytes):
        self.state = _CHART.initial
        self.fingerprint = fingerprint
        self.answer: calls.Answer | None = None
        self.task: asyncio.Task | None = None

    @property
    def is_unknown(self) -> bool:
        """Whether it is over and nobody knew whether it ran."""
        if self.answer is None:
            return False
        return self.answer.outcome is outcomes.Outcome.UNKNOWN

    def step(self, trigger: str) -> None:
        """Follows an arrow of the chart."""
        self.state = _CHART.next_state(self.state, trigger)


class Limits(typing.NamedTuple):
    """How much is kept.

    Attributes:
        records: Finished requests.
        size: Bytes of their answers' bodies.
    """

    records: int = _MOST_RECORDS
    size: int = _MOST_BYTES


class Records:
    """The requests that this daemon started, in bounded memory."""

    def __init__(self, daemon: str, clock: timers.Clock, limits: Limits):
        self._daemon = daemon
        self._clock = clock
        self._limits = limits
        self._records: dict[str, Record] = {}
        self._finished: collections.deque[str] = collections.deque()
        self._kept: collections.deque[str] = collections.deque()
        self._size = 0
        self._running = 0

    @property
    def running(self) -> int:
        """Requests that run now."""
        return self._running

    def find(self, request_id: str) -> Record | sentinels.Absence:
        """Returns a request's record, or `NO_RECORD`."""
        return self._records.get(request_id, NO_RECORD)

    def forbid(self, request_id: str) -> None:
        """Refuses a request from now on, unless it was started."""
        if request_id in self._records:
            return
        record = Record(b"")
        record.step("forbid")
        self._records[request_id] = record
        self._finished.append(request_id)
        self._trim()

    async def run(
        self, call: calls.Call, fingerprint: bytes, work: Work
    ) -> calls.Answer:
        """Returns the answer of the request's only run.

        The run goes on when its caller leaves: stopped half-way it could only
        be called unknown, while finished it has an answer for the caller that
        comes back.
        """
        record = self._records.get(call.request_id)
        if record is not None:
            return await self._again(call, fingerprint, record)
        record = Record(fingerprint)
        record.step("start")
        self._records[call.request_id] = record
        self._running += 1
        task = asyncio.create_task(self._finish(call, record, work))
        record.task = task
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            task.add_done_callback(_abandon)
            raise

    def replace_unknown_answer(
        self, request_id: str, answer: calls.Answer
    ) -> None:
        """Puts an answer found later in the place of a doubtful one."""
        record = self._records.get(request_id)
        if record is None or not record.doubtful:
            return
        if answer.outcome is outcomes.Outcome.UNKNOWN:
            return
        if record.state != "kept":
            answer = answer._replace(body=bodies.EMPTY)
        self._size += len(answer.body.whole) - len(record.answer.body.whole)
        record.answer = answer
        self._trim()

    async def _finish(
        self, call: calls.Call, record: Record, work: Work
    ) -> calls.Answer:
        try:
            answer = await work()
        except Exception as error:
            answer = calls.create_unknown_answer(
                outcomes.INTERNAL,
                call.request_id,
                self._daemon,
                type(error).__name__,
            )
        self._running -= 1
        record.task = None
        whole = answer.body.whole
        record.answer = answer._replace(
            retries_spent=0, body=bodies.WholeBody(whole or b"")
        )
        record.step("shorten" if whole is None else "finish")
        self._finished.append(call.request_id)
        if whole:
            self._size += len(whole)
            self._kept.append(call.request_id)
        self._trim()
        return answer

    async def _again(
        self, call: calls.Call, fingerprint: bytes, record: Record
    ) -> calls.Answer:
        match record.state:
            case "forbidden":
                return self._not_run(call, outcomes.NEVER_SEEN)
            case _ if record.fingerprint != fingerprint:
                return self._reused(call)
            case "running":
                await self._wait(call, record)
        return self.answer_of(call.request_id, record)

    async def _wait(self, call: calls.Call, record: Record) -> None:
        left_s = call.deadline_s - self._clock.now_s()
        await asyncio.wait({record.task}, timeout=max(0.0, left_s))

    def answer_of(self, request_id: str, record: Record) -> calls.Answer:
        """Returns what is known of a request that was started."""
        if record.answer is None:
            return calls.create_unknown_answer(
                outcomes.STILL_RUNNING, request_id, self._daemon
            )
        if record.state == "kept":
            return record.answer
        return calls.create_own_answer(
            record.answer.outcome,
            outcomes.ANSWER_NOT_KEPT,
            request_id,
            record.answer.decided_by,
        )

    def _not_run(
        self, call: calls.Call, reason: outcomes.Reason
    ) -> calls.Answer:
        refusal = outcomes.refuse(reason)
        return calls.create_not_run_answer(
            refusal, call.request_id, self._daemon
        )

    def _reused(self, call: calls.Call) -> calls.Answer:
        # Something ran or runs under this ID, if not what was sent now.
        return calls.create_unknown_answer(
            outcomes.REQUEST_ID_REUSED, call.request_id, self._daemon
        )

    def _trim(self) -> None:
        while self._size > self._limits.size:
            self._shorten(self._kept.popleft())
        while len(self._finished) > self._limits.records:
            request_id = self._finished.popleft()
            self._shorten(request_id)
            del self._records[request_id]

    def _shorten(self, request_id: str) -> None:
        record = self._records.get(request_id)
        if record is None or record.state != "kept":
            return
        record.step("shorten")
        self._size -= len(record.answer.body.whole)
        record.answer = record.answer._replace(body=bodies.EMPTY)


def _abandon(task: asyncio.Task) -> None:
    if task.cancelled() or task.exception() is not None:
        return
    abandon = getattr(task.result().body, "abandon", None)
    if abandon is not None:
        abandon()


def create_records(
    daemon: str, clock: timers.Clock, limits: Limits | None = None
) -> Records:
    """Returns empty records."""
    return Records(daemon, clock, limits or Limits())
