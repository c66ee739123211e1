"""Queues calls for the local backend server; limits concurrency and rate.

Child calls go first, since refusing them wastes the work that their parent
requests have already done. Other calls follow by priority and then by the fair
shares of their client accounts.
"""

import collections.abc
import math
import typing

from savorybend.internal import fairqueue
from savorybend.internal import timers
from savorybend.relay import calls
from savorybend.relay import capacity
from savorybend.relay import outcomes
from savorybend.relay import ratelimit
from savorybend.relay import servicetimes

# Queue delay that absorbs bursts; where calls take longer than this, the queue
# holds one call per slot instead. A longer queue adds latency but no
# throughput.
_MAX_QUEUE_DELAY_S = 0.1
# Longest expected wait for a rate limit; another backend server may have none.
_MAX_RATE_DELAY_S = 0.1
# Longest wait, since more important calls may arrive that go first.
_RATE_PATIENCE_S = 0.2
# A call whose remaining time is below this fraction of the mean service time
# is not expected to finish in time.
_MIN_SERVICE_FRACTION = 0.6
# Longest wait, as a fraction of the caller's remaining time, so that a refused
# caller still has time to retry. Child calls are exempt: retrying their parent
# request would repeat the work done so far.
_MAX_WAIT_FRACTION = 0.35
# How often expired calls are removed while calls arrive.
_SWEEP_INTERVAL_S = 0.03
_MIN_RETRY_AFTER_S = 0.05
# After this long without an answer the mean is reported as not measured, so
# that other daemons try the backend server again: it may have been cold when
# its mean was measured.
_MEAN_TTL_S = 2.0

OnStart = collections.abc.Callable[["QueuedCall"], None]
OnRefuse = collections.abc.Callable[["QueuedCall", outcomes.NotRun], None]
Check = collections.abc.Callable[[], outcomes.NotRun | None]


def _refuse_nothing() -> outcomes.NotRun | None:
    return None


class QueuedCall:
    """A call that is queued or running.

    Attributes:
        call: The call.
        on_start: Called with this object when the call may start.
        on_refuse: Called with this object and the refusal.
        check: Returns a refusal if the call must not start after it waited.
        started_s: When the call was started; None while it waits.
        waiter: Its entry in the queue; None while it isn't queued.
        until_s: When it is refused if it is still queued.
    """

    __slots__ = (
        "call",
        "on_start",
        "on_refuse",
        "check",
        "started_s",
        "waiter",
        "until_s",
    )

    def __init__(
        self,
        call: calls.Call,
        on_start: OnStart,
        on_refuse: OnRefuse,
        check: Check = _refuse_nothing,
    ):
        self.call = call
        self.on_start = on_start
        self.on_refuse = on_refuse
        self.check = check
        self.started_s: float | None = None
        self.until_s = call.deadline_s
        self.waiter: fairqueue.Waiter | None = None

    def clear_callbacks(self) -> None:
        """Drops the callbacks, which would otherwise form reference cycles."""
        self.on_start = _ignore
        self.on_refuse = _ignore
        self.check = _refuse_nothing


def _ignore(*arguments: object) -> None:
    """Replaces callbacks that were cleared."""


class CallQueue:
    """Starts calls while slots are free and queues the others."""

    def __init__(
        self,
        timer_service: timers.TimerService,
        random_fraction: collections.abc.Callable[[], float],
        estimator: capacity.CapacityEstimator,
    ):
        clock = timer_service.clock
        self._timers = timer_service
        self._clock = clock
        self._rate_limit = ratelimit.create_rate_limit(clock)
        self._wake_up: timers.Subscription | None = None
        self._random_fraction = random_fraction
        self._estimator = estimator
        self._limit = 0
        self._running = 0
        self._times = servicetimes.ServiceTimes()
        self._last_answer_s = -math.inf
        self._last_sweep_s = clock.now_s()
        self._queue = fairqueue.create_fair_queue(_equal_weight)

    @property
    def load(self) -> outcomes.Load:
        """Current load of the backend server."""
        measured = self._clock.now_s() - self._last_answer_s <= _MEAN_TTL_S
        return outcomes.Load(
            self._running,
            len(self._queue),
            self._capacity,
            self._times.mean_s if measured else outcomes.NOT_MEASURED_S,
            self._estimator.share,
            {},
        )

    @property
    def running(self) -> int:
        """Number of running calls."""
        return self._running

    def set_limit(self, limit: int) -> None:
        """Sets how many calls may run at once; 0 admits none."""
        self._limit = limit
        self._estimator.note_running(self._running, limit)
        self._start_queued()

    def set_rate(self, rate_per_s: float) -> None:
        """Sets how many calls may start per second; infinite for any number."""
        self._rate_limit.set_rate(rate_per_s)
        self._estimator.set_rate(self._rate_limit.rate_per_s)
        for waiter in self._queue.waiters:
            queued_call = waiter.token
            queued_call.until_s = self._until_s(queued_call.call)
        self._start_queued()

    def enter(self, queued_call: QueuedCall) -> None:
        """Starts a call, queues it or refuses it at once."""
        self._estimator.note_arrival()
        if self._may_start_at_once():
            self._start(queued_call)
            return
        self._sweep_if_due()
        queued_call.until_s = self._until_s(queued_call.call)
        refusal = self._refusal(queued_call)
        if refusal is not None:
            queued_call.on_refuse(queued_call, refusal)
            return
        self._push(queued_call)
        self._start_queued()

    def leave(self, queued_call: QueuedCall, answered: bool) -> None:
        """Releases the slot of a call.

        Args:
            queued_call: The call.
            answered: Whether the backend server answered it.
        """
        self._running -= 1
        self._estimator.note_running(self._running, self._limit)
        if answered:
            self._last_answer_s = self._clock.now_s()
            took_s = self._last_answer_s - queued_call.started_s
            self._times.note(queued_call.call.route, took_s)
        self._start_queued()

    def withdraw(self, queued_call: QueuedCall) -> bool:
        """Removes a call from the queue; returns whether it was queued."""
        return queued_call.waiter is not None and self._queue.remove(
            queued_call.waiter
        )

    def refuse_all(self, reason: str) -> None:
        """Refuses all queued calls, which other daemons can take."""
        while len(self._queue):
            queued_call = self._queue.pop(False).token
            queued_call.on_refuse(queued_call, outcomes.NotRun(reason))

    def sweep(self) -> None:
        """Refuses queued calls that have waited too long."""
        now_s = self._clock.now_s()
        self._last_sweep_s = now_s
        for waiter in self._queue.waiters:
            queued_call = waiter.token
            if now_s > queued_call.until_s:
                self._queue.remove(waiter)
                queued_call.on_refuse(queued_call, self._expired())

    def _sweep_if_due(self) -> None:
        if self._clock.now_s() - self._last_sweep_s >= _SWEEP_INTERVAL_S:
            self.sweep()

    def _start(self, queued_call: QueuedCall) -> None:
        self._running += 1
        queued_call.started_s = self._clock.now_s()
        waited_s = 0.0
        if queued_call.waiter is not None:
            waited_s = queued_call.started_s - queued_call.waiter.arrived_s
            queued_call.waiter = None
        self._estimator.note_started(waited_s)
        self._estimator.note_running(self._running, self._limit)
        queued_call.on_start(queued_call)

    def _push(self, queued_call: QueuedCall) -> None:
        call = queued_call.call
        now_s = self._clock.now_s()
        queued_call.waiter = fairqueue.Waiter(
            call.priority,
            call.client_account,
            now_s,
            call.deadline_s,
            queued_call,
        )
        self._queue.push(queued_call.waiter)
        if len(self._queue) > self._max_queued:
            dropped = self._queue.drop(False).token
            dropped.on_refuse(dropped, self._not_run(self._full_reason))

    @property
    def _capacity(self) -> int:
        """How many calls run at once if calls never run out."""
        if not self._rate_limit.limited:
            return self._limit
        by_rate = math.ceil(self._rate_limit.rate_per_s * self._times.mean_s)
        return min(self._limit, max(1, by_rate))

    @property
    def _max_queued(self) -> float:
        """Number of queued calls above which one is dropped."""
        if self._rate_limit.limited:
            return max(1.0, self._rate_limit.rate_per_s * _MAX_RATE_DELAY_S)
        return self._limit * max(1.0, _MAX_QUEUE_DELAY_S / self._times.mean_s)

    @property
    def _full_reason(self) -> str:
        if self._rate_limit.limited:
            return outcomes.SERVER_LIMIT
        return outcomes.OVERLOADED

    def _expired(self) -> outcomes.NotRun:
        """Returns the refusal of a call that has waited too long."""
        if self._rate_limit.limited:
            return self._not_run(outcomes.SERVER_LIMIT)
        return self._not_run(outcomes.TOO_LATE)

    def _until_s(self, call: calls.Call) -> float:
        """Returns the time at which a waiting call is refused."""
        latest_start_s = (
            call.deadline_s - self._times.of(call.route) * _MIN_SERVICE_FRACTION
        )
        if self._rate_limit.limited:
            patience_ends_s = self._clock.now_s() + _RATE_PATIENCE_S
            return min(latest_start_s, patience_ends_s)
        if call.priority < 0:
            return latest_start_s
        now_s = self._clock.now_s()
        patience_ends_s = now_s + (call.deadline_s - now_s) * _MAX_WAIT_FRACTION
        return min(latest_start_s, patience_ends_s)

    def _refusal(self, queued_call: QueuedCall) -> outcomes.NotRun | None:
        call = queued_call.call
        if self._limit == 0:
            return outcomes.NotRun(outcomes.NO_BACKEND_SERVER)
        ahead = self._queue.count_more_important(call.priority + 1)
        if self._rate_limit.wait_s(ahead) > _MAX_RATE_DELAY_S:
            return self._not_run(outcomes.SERVER_LIMIT)
        wait_s = (ahead + 1) * self._times.mean_s / self._limit
        service_s = self._times.of(call.route)
        start_s = self._clock.now_s() + wait_s
        if (
            start_s > queued_call.until_s
            or start_s + service_s > call.deadline_s
        ):
            return self._not_run(outcomes.OVERLOADED)
        return None

    def _not_run(self, reason: str) -> outcomes.NotRun:
        self._estimator.note_shed()
        queued = len(self._queue)
        drain_s = max(
            queued * self._times.mean_s / max(1, self._limit),
            self._rate_limit.wait_s(queued),
        )
        # Jitter, so that calls refused together aren't retried together.
        retry_after_s = max(_MIN_RETRY_AFTER_S, drain_s) * (
            0.5 + self._random_fraction()
        )
        return outcomes.NotRun(reason, retry_after_s=retry_after_s)

    def _may_start_at_once(self) -> bool:
        """Returns whether a call needn't be queued; takes a token if so."""
        if self._running >= self._limit or len(self._queue):
            return False
        return self._rate_limit.take()

    def _start_queued(self) -> None:
        while self._running < self._limit and len(self._queue):
            wait_s = self._rate_limit.wait_s(0)
            if wait_s > 0:
                self._wake_up_in(wait_s)
                return
            queued_call = self._queue.pop(False).token
            refusal = queued_call.check()
            if refusal is None and self._clock.now_s() > queued_call.until_s:
                refusal = self._expired()
            if refusal is not None:
                queued_call.on_refuse(queued_call, refusal)
                continue
            self._rate_limit.take()
            self._start(queued_call)

    def _wake_up_in(self, delay_s: float) -> None:
        if self._wake_up is None:
            self._wake_up = self._timers.after(delay_s, self._on_wake_up)

    def _on_wake_up(self) -> None:
        self._wake_up = None
        self._start_queued()


def _equal_weight(client_account: str) -> float:
    return 1.0


class Parts(typing.NamedTuple):
    """Dependencies of a call queue.

    Attributes:
        timers: Clock and timers.
        random_fraction: Returns a random number from 0 to 1, for jitter.
        estimator: The capacity estimator, told of arrivals and refusals.
    """

    timers: timers.TimerService
    random_fraction: collections.abc.Callable[[], float]
    estimator: capacity.CapacityEstimator


def create_call_queue(parts: Parts) -> CallQueue:
    """Returns an empty queue with a limit of 0."""
    return CallQueue(parts.timers, parts.random_fraction, parts.estimator)
