"""Records of requests that ran once, with answers for resent requests.

The issuer of an ID keeps records of the requests that it started. The daemon
on a backend server's VM keeps records of the requests that it dispatched. The
states of a record are in charts/execution.json.
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
_MAX_RECORDS = 20_000
_MAX_BYTES = 16 * 1024 * 1024

Work = collections.abc.Callable[
    [], collections.abc.Coroutine[typing.Any, typing.Any, calls.Answer]
]


class Record:
    """The record of one request.

    Attributes:
        state: State of charts/execution.json.
        fingerprint: Digest that tells this request from another one sent
            with the same ID.
        answer: Its answer, or None before it ended; the body may have been
            dropped.
        task: Task of its run, or None when it isn't running.
    """

    __slots__ = ("state", "fingerprint", "answer", "task")

    def __init__(self, fingerprint: bytes):
        self.state = _CHART.initial
        self.fingerprint = fingerprint
        self.answer: calls.Answer | None = None
        self.task: asyncio.Task | None = None

    @property
    def is_unknown(self) -> bool:
        """Whether it ended with the outcome `unknown`."""
        if self.answer is None:
            return False
        return self.answer.outcome is outcomes.Outcome.UNKNOWN

    def step(self, trigger: str) -> None:
        """Applies a transition of the state chart."""
        self.state = _CHART.next_state(self.state, trigger)


class Limits(typing.NamedTuple):
    """Limits of the memory for records.

    Attributes:
        records: Maximum number of finished requests.
        size: Maximum size of their answers' bodies, in bytes.
    """

    records: int = _MAX_RECORDS
    size: int = _MAX_BYTES


class Records:
    """Records of the requests that this daemon started, in bounded memory."""

    def __init__(self, daemon: str, clock: timers.Clock, limits: Limits):
        self._daemon = daemon
        self._clock = clock
        self._limits = limits
        self._records: dict[str, Record] = {}
        self._finished: collections.deque[str] = collections.deque()
        self._with_body: collections.deque[str] = collections.deque()
        self._size = 0
        self._running = 0

    @property
    def running(self) -> int:
        """Number of requests in progress."""
        return self._running

    def find(self, request_id: str) -> Record | sentinels.Absence:
        """Returns a request's record, or `NO_RECORD`."""
        return self._records.get(request_id, NO_RECORD)

    def forbid(self, request_id: str) -> None:
        """Makes sure that a request which wasn't started never will be."""
        if request_id in self._records:
            return
        record = Record(b"")
        record.step("forbid")
        self._records[request_id] = record
        self._finished.append(request_id)
        self._evict()

    async def run(
        self, call: calls.Call, fingerprint: bytes, work: Work
    ) -> calls.Answer:
        """Runs a request unless it has a record, and returns its answer.

        The run continues when its caller is cancelled: interrupted, its
        outcome would be unknown, while a finished run has an answer for a
        caller that resends the request.

        Args:
            call: The request; a second run under its ID is never started.
            fingerprint: Digest of the request, see `fingerprints.of_request`.
            work: Runs the request. An exception gives the outcome `unknown`.
        """
        record = self._records.get(call.request_id)
        if record is not None:
            return await self._answer_resent(call, fingerprint, record)
        record = Record(fingerprint)
        record.step("start")
        self._records[call.request_id] = record
        self._running += 1
        task = asyncio.create_task(self._finish(call, record, work))
        record.task = task
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            task.add_done_callback(_abandon_body)
            raise

    def replace_unknown_answer(
        self, request_id: str, answer: calls.Answer
    ) -> None:
        """Replaces an answer of unknown outcome by one found later."""
        record = self._records.get(request_id)
        if record is None or not record.is_unknown:
            return
        if answer.outcome is outcomes.Outcome.UNKNOWN:
            return
        if record.state != "kept":
            answer = answer._replace(body=bodies.EMPTY)
        self._size += len(answer.body.whole) - len(record.answer.body.whole)
        record.answer = answer
        self._evict()

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
            self._with_body.append(call.request_id)
        self._evict()
        return answer

    async def _answer_resent(
        self, call: calls.Call, fingerprint: bytes, record: Record
    ) -> calls.Answer:
        match record.state:
            case "forbidden":
                return self._create_not_run_answer(call, outcomes.NEVER_SEEN)
            case _ if record.fingerprint != fingerprint:
                return self._create_reused_answer(call)
            case "running":
                await self._wait_for_end(call, record)
        return self.answer_of(call.request_id, record)

    async def _wait_for_end(self, call: calls.Call, record: Record) -> None:
        left_s = call.deadline_s - self._clock.now_s()
        await asyncio.wait({record.task}, timeout=max(0.0, left_s))

    def answer_of(self, request_id: str, record: Record) -> calls.Answer:
        """Returns the answer of a started request, as far as it is known."""
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

    def _create_not_run_answer(
        self, call: calls.Call, reason: outcomes.Reason
    ) -> calls.Answer:
        refusal = outcomes.refuse(reason)
        return calls.create_not_run_answer(
            refusal, call.request_id, self._daemon
        )

    def _create_reused_answer(self, call: calls.Call) -> calls.Answer:
        # The outcome isn't `not-run`, since another request ran or runs under
        # this ID.
        return calls.create_unknown_answer(
            outcomes.REQUEST_ID_REUSED, call.request_id, self._daemon
        )

    def _evict(self) -> None:
        while self._size > self._limits.size:
            self._drop_body(self._with_body.popleft())
        while len(self._finished) > self._limits.records:
            request_id = self._finished.popleft()
            self._drop_body(request_id)
            del self._records[request_id]

    def _drop_body(self, request_id: str) -> None:
        record = self._records.get(request_id)
        if record is None or record.state != "kept":
            return
        record.step("shorten")
        self._size -= len(record.answer.body.whole)
        record.answer = record.answer._replace(body=bodies.EMPTY)


def _abandon_body(task: asyncio.Task) -> None:
    if task.cancelled() or task.exception() is not None:
        return
    abandon = getattr(task.result().body, "abandon", None)
    if abandon is not None:
        abandon()


def create_records(
    daemon: str, clock: timers.Clock, limits: Limits | None = None
) -> Records:
    """Returns empty records with the given or the default limits."""
    return Records(daemon, clock, limits or Limits())
