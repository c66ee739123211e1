"""How many calls the backend server on this VM works on at once."""

import asyncio
import heapq
import itertools
import typing

from savorybend.internal import calls
from savorybend.internal import outcomes
from savorybend.internal import timers

_DEFAULT_SLOTS = 16
# Waiting longer than this many calls for each slot takes the caller's
# patience away from the answer; they are told to come back instead.
_WAITING_PER_SLOT = 1


class Ticket(typing.NamedTuple):
    """Leave to give the backend server a call.

    Attributes:
        entered_s: When the call was let in, on this VM's clock.
    """

    entered_s: float


class Report(typing.NamedTuple):
    """What became of a call that was let in.

    Attributes:
        latency_s: Seconds that the backend server took.
        failed: Whether it didn't answer.
    """

    latency_s: float
    failed: bool


class Gate:
    """Lets calls in by priority, then by age."""

    def __init__(self, clock: timers.Clock):
        self._clock = clock
        self._limit = _DEFAULT_SLOTS
        self._in_use = 0
        self._order = itertools.count()
        self._waiting: list[tuple[int, int, asyncio.Future]] = []

    @property
    def in_use(self) -> int:
        """Calls that the backend server works on."""
        return self._in_use

    @property
    def waiting(self) -> int:
        """Calls that wait."""
        return len(self._waiting)

    @property
    def limit(self) -> int:
        """Calls that the backend server may work on at once."""
        return self._limit

    @property
    def threshold(self) -> float:
        """What entries need to know to refuse doomed calls themselves."""
        return calls.NO_THRESHOLD

    def set_slots(self, slots: int) -> None:
        """Takes the backend server's word for its size."""
        self._limit = slots
        self._let_in()

    def hint(self, in_use: int) -> None:
        """Takes a load report, which may lag or mislead."""

    async def enter(self, call: calls.Call) -> Ticket | outcomes.Refuse:
        """Returns a ticket, or a refusal at once where waiting is vain."""
        if self._in_use < self._limit:
            self._in_use += 1
            return Ticket(self._clock.now_s())
        if len(self._waiting) >= self._limit * _WAITING_PER_SLOT:
            self._shed_for(call.priority)
            if len(self._waiting) >= self._limit * _WAITING_PER_SLOT:
                return outcomes.refuse(outcomes.OVERLOADED)
        future = asyncio.get_running_loop().create_future()
        entry = (call.priority, next(self._order), future)
        heapq.heappush(self._waiting, entry)
        return await self._wait(call, entry)

    def leave(self, ticket: Ticket, report: Report) -> None:
        """Gives a ticket back."""
        self._in_use -= 1
        self._let_in()

    async def _wait(self, call, entry) -> Ticket | outcomes.Refuse:
        future = entry[2]
        left_s = call.deadline_s - self._clock.now_s()
        try:
            async with asyncio.timeout(max(0.0, left_s)):
                return await future
        except TimeoutError:
            self._forget(entry)
            return outcomes.refuse(outcomes.TOO_LATE)
        except asyncio.CancelledError:
            self._forget(entry)
            raise

    def _forget(self, entry) -> None:
        future = entry[2]
        if future.done() and not future.cancelled():
            # The ticket came together with the end of the wait.
            if isinstance(future.result(), Ticket):
                self._in_use -= 1
                self._let_in()
            return
        if entry in self._waiting:
            self._waiting.remove(entry)
            heapq.heapify(self._waiting)

    def _shed_for(self, priority: int) -> None:
        worst = max(self._waiting)
        if worst[0] <= priority:
            return
        self._waiting.remove(worst)
        heapq.heapify(self._waiting)
        if not worst[2].done():
            worst[2].set_result(outcomes.refuse(outcomes.OVERLOADED))

    def _let_in(self) -> None:
        while self._waiting and self._in_use < self._limit:
            _, _, future = heapq.heappop(self._waiting)
            if future.done():
                continue
            self._in_use += 1
            future.set_result(Ticket(self._clock.now_s()))


def create_gate(clock: timers.Clock) -> Gate:
    """Returns the gate of one backend server."""
    return Gate(clock)
