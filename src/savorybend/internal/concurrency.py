"""The gate beside a backend server: which calls it works on, and when."""

import asyncio
import collections.abc
import random
import typing

from savorybend.internal import adaptive
from savorybend.internal import admission
from savorybend.internal import calls
from savorybend.internal import experiments
from savorybend.internal import fairqueue
from savorybend.internal import metrics
from savorybend.internal import outcomes
from savorybend.internal import servicetimes
from savorybend.internal import timers

_DEFAULT_SLOTS = 16
# A longer queue answers no more calls, it only answers all of them later, and
# those who wait hold slots of the services above meanwhile.
_WAITING_PER_SLOT = 1
# Where only the most important class is left, its bursts may wait.
_MOST_IMPORTANT = 0
_IMPORTANT_PER_SLOT = 4
_SWEEP_S = 0.05
# A queue that hasn't been empty for so long stands: it is no burst.
_STANDING_S = 0.1
_SHORTEST_PATIENCE_S = 0.1
# In a queue that stands, a call waits no longer than so many mean times.
_PATIENCE_FACTOR = 3.0


class Permit(typing.NamedTuple):
    """Leave to give the backend server a call.

    Attributes:
        admitted_s: When the call was let in, on this VM's clock.
        route: The call's route.
    """

    admitted_s: float
    route: str = ""


class Report(typing.NamedTuple):
    """What became of a call that was let in.

    Attributes:
        latency_s: Seconds that the backend server took.
        failed: Whether it didn't answer.
        children_s: Seconds of these in which it waited for child calls.
    """

    latency_s: float
    failed: bool
    children_s: float = 0.0


class Gate:
    """Lets calls in by priority, then fair share, then age."""

    def __init__(
        self,
        timer_service: timers.TimerService,
        weight_of: collections.abc.Callable[[str], float],
        switches: experiments.Switches,
    ):
        self._timers = timer_service
        self._clock = timer_service.clock
        self._switches = switches
        self._announced = _DEFAULT_SLOTS
        self._limit = adaptive.create_adaptive_limit(_DEFAULT_SLOTS)
        self._queue = fairqueue.create_fair_queue(weight_of, switches)
        self._controller = admission.create_controller(self._clock)
        self._service_times = servicetimes.create_service_times(self._clock)
        self._rng = random.Random()
        self._in_use = 0
        self._empty_s = self._clock.now_s()
        self._sweeping = False

    @property
    def in_use(self) -> int:
        """Calls that the backend server works on."""
        return self._in_use

    @property
    def waiting(self) -> int:
        """Calls that wait."""
        return len(self._queue)

    @property
    def limit(self) -> int:
        """Calls that the backend server may work on at once."""
        if not self._switches.adaptive:
            return self._announced
        return self._limit.value

    @property
    def threshold(self) -> float:
        """What entries need to know to refuse doomed calls themselves.

        See `admission` for its meaning.
        """
        if not self._switches.thresholds:
            return calls.NO_THRESHOLD
        return self._controller.threshold

    def threshold_for(self, call: calls.Call) -> float:
        """Returns the threshold that an answer to a call carries.

        Nothing ran for a call that enters beside the gate, so the gate itself
        refuses it as cheaply as its entry, and exactly: whatever important
        calls leave free goes to it, and it is refused no longer than need be.
        """
        return self.threshold if call.depth else calls.NO_THRESHOLD

    def set_slots(self, slots: int) -> None:
        """Takes the backend server's word for its size as a first guess.

        Saying the same again changes nothing, since what was measured
        meanwhile is worth more.
        """
        if slots != self._announced:
            self._announced = slots
            self._limit.restart(slots)
        self._let_in()

    def note_load_report(self, in_use: int) -> None:
        """Takes a load report.

        The gate counts what it let in itself, and nothing else reaches the
        backend server, so a report that lags or misleads has no say.
        """

    async def acquire(self, call: calls.Call) -> Permit | outcomes.Refuse:
        """Returns a permit, or a refusal at once where waiting is vain."""
        decided = self._decide(call)
        if isinstance(decided, fairqueue.Waiter):
            return await self._wait(decided)
        return decided

    def release(self, permit: Permit, report: Report) -> None:
        """Gives a permit back."""
        own_s = max(0.0, report.latency_s - report.children_s)
        self._limit.observe(own_s, self._in_use, report.failed)
        if not report.failed:
            self._service_times.observe(permit.route, report.latency_s)
        self._in_use -= 1
        self._let_in()

    def _decide(
        self, call: calls.Call
    ) -> Permit | outcomes.Refuse | fairqueue.Waiter:
        if not self._switches.control:
            return self._admit(call.client_account, call.route)
        self._controller.note_arrival(call.priority)
        if self._in_vain(call):
            return self._refuse(call, outcomes.TOO_LATE)
        if self._in_use < self.limit and not self._queue:
            return self._admit(call.client_account, call.route)
        return self._join(call)

    def _in_vain(self, call: calls.Call) -> bool:
        if not self._switches.deadline:
            return False
        mean_s = self._service_times.mean_s(call.route)
        wait_s = (
            self._queue.count_more_important(call.priority)
            * mean_s
            / self.limit
        )
        left_s = call.deadline_s - self._clock.now_s()
        return self._service_times.is_too_late(call.route, left_s - wait_s)

    def _join(self, call: calls.Call) -> outcomes.Refuse | fairqueue.Waiter:
        now_s = self._clock.now_s()
        if not self._queue:
            self._empty_s = now_s
        future = asyncio.get_running_loop().create_future()
        waiter = fairqueue.Waiter(
            call.priority,
            call.client_account,
            now_s,
            call.deadline_s,
            (future, call),
        )
        self._queue.push(waiter)
        self._controller.note_queued_call()
        if self._overflows():
            dropped = self._queue.drop(self._newest_first())
            if dropped is waiter:
                return self._refuse(call, outcomes.OVERLOADED)
            self._give_up(dropped, outcomes.OVERLOADED)
        self._start_sweeping()
        return waiter

    def _overflows(self) -> bool:
        most = _WAITING_PER_SLOT
        if self._queue.least_important == _MOST_IMPORTANT:
            most = _IMPORTANT_PER_SLOT
        return len(self._queue) > self.limit * most

    async def _wait(self, waiter: fairqueue.Waiter) -> Permit | outcomes.Refuse:
        future = waiter.token[0]
        try:
            return await future
        except asyncio.CancelledError:
            if self._queue.remove(waiter) or future.cancelled():
                raise
            if isinstance(future.result(), Permit):
                # The permit came together with the end of the wait.
                self._in_use -= 1
                self._let_in()
            raise

    def _admit(self, client_account: str, route: str) -> Permit:
        self._in_use += 1
        self._controller.note_dispatch()
        return Permit(self._clock.now_s(), route)

    def _let_in(self) -> None:
        while self._queue and self._in_use < self.limit:
            waiter = self._queue.pop(self._newest_first())
            future, call = waiter.token
            if future.done():
                # Its caller left in this very turn of the loop.
                continue
            waited_s = self._clock.now_s() - waiter.arrived_s
            metrics.queue_seconds(
                waiter.client_account, waiter.priority
            ).observe(waited_s)
            future.set_result(self._admit(call.client_account, call.route))

    def _newest_first(self) -> bool:
        if not self._switches.newest:
            return False
        return self._clock.now_s() - self._empty_s > _STANDING_S

    def _start_sweeping(self) -> None:
        if not self._sweeping:
            self._sweeping = True
            self._timers.after(_SWEEP_S, self._sweep)

    def _sweep(self) -> None:
        """Refuses at once those who have waited in vain."""
        self._sweeping = False
        now_s = self._clock.now_s()
        standing = self._newest_first()
        for waiter in self._queue.waiters:
            mean_s = self._service_times.mean_s(waiter.token[1].route)
            left_s = waiter.deadline_s - now_s - _SWEEP_S
            waited_s = now_s - waiter.arrived_s
            if left_s <= 0 or self._hopeless(left_s, mean_s):
                reason = outcomes.TOO_LATE
            elif standing and waited_s > self._longest_wait_s(mean_s):
                reason = outcomes.OVERLOADED
            else:
                continue
            self._queue.remove(waiter)
            self._give_up(waiter, reason)
        if self._queue:
            self._start_sweeping()

    def _longest_wait_s(self, mean_s: float) -> float:
        return max(_SHORTEST_PATIENCE_S, _PATIENCE_FACTOR * mean_s)

    def _hopeless(self, left_s: float, mean_s: float) -> bool:
        return self._switches.deadline and left_s < mean_s / 2

    def _give_up(
        self, waiter: fairqueue.Waiter, reason: outcomes.Reason
    ) -> None:
        future, call = waiter.token
        if not future.done():
            future.set_result(self._refuse(call, reason))

    def _refuse(
        self, call: calls.Call, reason: outcomes.Reason
    ) -> outcomes.Refuse:
        # A call that enters here has cost nothing yet, and this gate refuses
        # it as cheaply as any entry and more exactly.
        if call.depth:
            self._controller.shed()
        metrics.shed(
            call.client_account, call.priority, reason.name, "gate"
        ).inc()
        wait_s = admission.retry_after_s(self.threshold, self._rng)
        return outcomes.Refuse(reason, wait_s)


def _even(client_account: str) -> float:
    return 1.0


def create_gate(
    timer_service: timers.TimerService,
    weight_of: collections.abc.Callable[[str], float] = _even,
    switches: experiments.Switches = experiments.ALL_ON,
) -> Gate:
    """Returns the gate of one backend server.

    Args:
        timer_service: What the gate reads the time from.
        weight_of: Returns a client account's weight, above zero.
        switches: Mechanisms that work.
    """
    gate = Gate(timer_service, weight_of, switches)
    metrics.CONCURRENCY_LIMIT.set_function(lambda: gate.limit)
    metrics.THRESHOLD.set_function(lambda: gate.threshold)
    return gate
