"""Limits the concurrency of a backend server and queues the calls above it.

The gate runs in the daemon on the backend server's VM. It admits calls up to
the concurrency limit, queues a few more, and refuses the rest.
"""

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
# A longer queue adds latency but no throughput, and its calls hold slots of the
# calling services while they wait.
_QUEUED_PER_SLOT = 1
_TOP_CLASS = 0
# A queue of only the most important class may be longer, to absorb its bursts.
_TOP_CLASS_QUEUED_PER_SLOT = 4
_SWEEP_INTERVAL_S = 0.05
# A queue that hasn't been empty for this long is a standing queue, not a burst.
_STANDING_QUEUE_S = 0.1
_MIN_QUEUE_WAIT_S = 0.1
# The longest wait in a standing queue, in mean service times of the route.
_QUEUE_WAIT_FACTOR = 3.0


class Permit(typing.NamedTuple):
    """Permission to send the backend server one call.

    Attributes:
        admitted_s: When the call was admitted, on this VM's clock in seconds.
        route: The call's route.
    """

    admitted_s: float
    route: str = ""


class Report(typing.NamedTuple):
    """The result of an admitted call.

    Attributes:
        latency_s: Seconds from admission to the end of the call.
        failed: Whether the backend server didn't answer.
        children_s: Seconds of `latency_s` spent waiting for child calls.
    """

    latency_s: float
    failed: bool
    children_s: float = 0.0


class Gate:
    """Admits calls in order of priority, then fair share, then age."""

    def __init__(
        self,
        timer_service: timers.TimerService,
        weight_of: collections.abc.Callable[[str], float],
        switches: experiments.Switches,
    ):
        self._timers = timer_service
        self._clock = timer_service.clock
        self._switches = switches
        self._announced_slots = _DEFAULT_SLOTS
        self._limit = adaptive.create_adaptive_limit(_DEFAULT_SLOTS)
        self._queue = fairqueue.create_fair_queue(weight_of, switches)
        self._controller = admission.create_controller(self._clock)
        self._service_times = servicetimes.create_service_times(self._clock)
        self._rng = random.Random()
        self._in_use = 0
        self._last_empty_s = self._clock.now_s()
        self._sweeping = False

    @property
    def in_use(self) -> int:
        """Number of calls in progress at the backend server."""
        return self._in_use

    @property
    def waiting(self) -> int:
        """Number of queued calls."""
        return len(self._queue)

    @property
    def limit(self) -> int:
        """Maximum number of concurrent calls."""
        if not self._switches.adaptive:
            return self._announced_slots
        return self._limit.value

    @property
    def threshold(self) -> float:
        """The admission threshold that upstream daemons apply.

        Applying it upstream refuses calls before they cost this VM anything.
        See `admission` for the scale.
        """
        if not self._switches.thresholds:
            return calls.NO_THRESHOLD
        return self._controller.threshold

    def threshold_for(self, call: calls.Call) -> float:
        """Returns the threshold that the answer to a call reports upstream.

        Root calls get `NO_THRESHOLD`. Nothing has run for them yet, so this
        gate refuses them as cheaply as their ingress would, and more exactly:
        it admits them whenever more important calls leave a slot free.
        """
        return self.threshold if call.depth else calls.NO_THRESHOLD

    def set_slots(self, slots: int) -> None:
        """Sets the announced number of slots, the initial concurrency limit.

        Announcing the same number again has no effect, so that it doesn't
        discard the limit measured since.
        """
        if slots != self._announced_slots:
            self._announced_slots = slots
            self._limit.restart(slots)
        self._admit_waiting()

    def note_load_report(self, in_use: int) -> None:
        """Accepts a load report of the backend server and ignores it.

        Every call to the backend server passes this gate, so its own count is
        exact, while a report may be late or wrong.
        """

    async def acquire(self, call: calls.Call) -> Permit | outcomes.Refuse:
        """Waits for a permit.

        Returns:
            A permit, or a refusal. A call that would miss its deadline, or is
            the one to shed from a full queue, is refused without a wait.
        """
        decision = self._decide(call)
        if isinstance(decision, fairqueue.Waiter):
            return await self._wait(decision)
        return decision

    def release(self, permit: Permit, report: Report) -> None:
        """Returns a permit and records the result of its call."""
        own_s = max(0.0, report.latency_s - report.children_s)
        self._limit.observe(own_s, self._in_use, report.failed)
        if not report.failed:
            self._service_times.observe(permit.route, report.latency_s)
        self._in_use -= 1
        self._admit_waiting()

    def _decide(
        self, call: calls.Call
    ) -> Permit | outcomes.Refuse | fairqueue.Waiter:
        if not self._switches.control:
            return self._admit(call.client_account, call.route)
        self._controller.note_arrival(call.priority)
        if self._would_miss_deadline(call):
            return self._refuse(call, outcomes.TOO_LATE)
        if self._in_use < self.limit and not self._queue:
            return self._admit(call.client_account, call.route)
        return self._enqueue(call)

    def _would_miss_deadline(self, call: calls.Call) -> bool:
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

    def _enqueue(self, call: calls.Call) -> outcomes.Refuse | fairqueue.Waiter:
        now_s = self._clock.now_s()
        if not self._queue:
            self._last_empty_s = now_s
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
        if self._is_queue_too_long():
            dropped = self._queue.drop(self._newest_first())
            if dropped is waiter:
                return self._refuse(call, outcomes.OVERLOADED)
            self._refuse_waiter(dropped, outcomes.OVERLOADED)
        self._start_sweeping()
        return waiter

    def _is_queue_too_long(self) -> bool:
        per_slot = _QUEUED_PER_SLOT
        if self._queue.least_important == _TOP_CLASS:
            per_slot = _TOP_CLASS_QUEUED_PER_SLOT
        return len(self._queue) > self.limit * per_slot

    async def _wait(self, waiter: fairqueue.Waiter) -> Permit | outcomes.Refuse:
        future = waiter.token[0]
        try:
            return await future
        except asyncio.CancelledError:
            if self._queue.remove(waiter) or future.cancelled():
                raise
            if isinstance(future.result(), Permit):
                # The permit was granted in the turn of the event loop in
                # which the caller was cancelled.
                self._in_use -= 1
                self._admit_waiting()
            raise

    def _admit(self, client_account: str, route: str) -> Permit:
        self._in_use += 1
        self._controller.note_dispatch()
        return Permit(self._clock.now_s(), route)

    def _admit_waiting(self) -> None:
        while self._queue and self._in_use < self.limit:
            waiter = self._queue.pop(self._newest_first())
            future, call = waiter.token
            if future.done():
                # The caller was cancelled in this turn of the event loop.
                continue
            waited_s = self._clock.now_s() - waiter.arrived_s
            metrics.queue_seconds(
                waiter.client_account, waiter.priority
            ).observe(waited_s)
            future.set_result(self._admit(call.client_account, call.route))

    def _newest_first(self) -> bool:
        if not self._switches.newest:
            return False
        return self._clock.now_s() - self._last_empty_s > _STANDING_QUEUE_S

    def _start_sweeping(self) -> None:
        if not self._sweeping:
            self._sweeping = True
            self._timers.after(_SWEEP_INTERVAL_S, self._sweep)

    def _sweep(self) -> None:
        """Refuses queued calls that are out of time or waited too long."""
        self._sweeping = False
        now_s = self._clock.now_s()
        standing = self._newest_first()
        for waiter in self._queue.waiters:
            mean_s = self._service_times.mean_s(waiter.token[1].route)
            left_s = waiter.deadline_s - now_s - _SWEEP_INTERVAL_S
            waited_s = now_s - waiter.arrived_s
            if left_s <= 0 or self._cannot_finish_in_time(left_s, mean_s):
                reason = outcomes.TOO_LATE
            elif standing and waited_s > self._max_wait_s(mean_s):
                reason = outcomes.OVERLOADED
            else:
                continue
            self._queue.remove(waiter)
            self._refuse_waiter(waiter, reason)
        if self._queue:
            self._start_sweeping()

    def _max_wait_s(self, mean_s: float) -> float:
        return max(_MIN_QUEUE_WAIT_S, _QUEUE_WAIT_FACTOR * mean_s)

    def _cannot_finish_in_time(self, left_s: float, mean_s: float) -> bool:
        return self._switches.deadline and left_s < mean_s / 2

    def _refuse_waiter(
        self, waiter: fairqueue.Waiter, reason: outcomes.Reason
    ) -> None:
        future, call = waiter.token
        if not future.done():
            future.set_result(self._refuse(call, reason))

    def _refuse(
        self, call: calls.Call, reason: outcomes.Reason
    ) -> outcomes.Refuse:
        # Refused root calls don't raise the threshold: nothing has run for
        # them, and refusing them upstream would be no cheaper and less exact.
        if call.depth:
            self._controller.shed()
        metrics.shed(
            call.client_account, call.priority, reason.name, "gate"
        ).inc()
        wait_s = admission.retry_after_s(self.threshold, self._rng)
        return outcomes.Refuse(reason, wait_s)


def _equal_weight(client_account: str) -> float:
    return 1.0


def create_gate(
    timer_service: timers.TimerService,
    weight_of: collections.abc.Callable[[str], float] = _equal_weight,
    switches: experiments.Switches = experiments.ALL_ON,
) -> Gate:
    """Returns the gate of one backend server.

    Args:
        timer_service: Provides the clock and the timers of the queue.
        weight_of: Returns a client account's fair-share weight, above zero.
        switches: Which overload control mechanisms are enabled.
    """
    gate = Gate(timer_service, weight_of, switches)
    metrics.CONCURRENCY_LIMIT.set_function(lambda: gate.limit)
    metrics.THRESHOLD.set_function(lambda: gate.threshold)
    return gate
