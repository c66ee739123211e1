"""Queues calls for the local backend server and limits its concurrency.

Child calls go first, since refusing them wastes the work that their parent
requests have already done. Other calls follow by priority and then by the fair
shares of their client accounts.
"""

import collections.abc
import math
import typing

from savorybend.internal import fairqueue
from savorybend.internal import timers
from savorybend.relay import admission
from savorybend.relay import calls
from savorybend.relay import outcomes

_MEAN_KEPT = 0.95
_FIRST_MEAN_S = 0.05
# Queue delay that absorbs bursts; where calls take longer than this, the queue
# holds one call per slot instead. A longer queue adds latency but no
# throughput.
_QUEUE_S = 0.1
# A call whose remaining time is below this fraction of the mean service time
# is not expected to finish in time.
_LEAST_PART = 0.6
# Longest wait, as a fraction of the caller's remaining time, so that a refused
# caller still has time to retry. Child calls are exempt: retrying their parent
# request would repeat the work done so far.
_WAITED_PART = 0.35
# How often expired calls are removed while calls arrive.
_SWEEP_EVERY_S = 0.03
_SHORTEST_RETURN_S = 0.05
# After this long without an answer the mean is reported as not measured, so
# that other daemons try the backend server again: it may have been cold when
# its mean was measured.
_TIMES_KEPT_S = 2.0

OnEnter = collections.abc.Callable[["QueuedCall"], None]
OnRefuse = collections.abc.Callable[["QueuedCall", outcomes.NotRun], None]


class QueuedCall:
    """A call that is queued or running.

    Attributes:
        call: The call.
        on_enter: Called with this object when the call may start.
        on_refuse: Called with this object and the refusal.
        entered_s: When the call was started; None while it waits.
        waiter: Its place in the queue; None while it isn't queued.
        until_s: When it is refused if it is still waiting.
    """

    __slots__ = (
        "call",
        "on_enter",
        "on_refuse",
        "entered_s",
        "waiter",
        "until_s",
    )

    def __init__(
        self, call: calls.Call, on_enter: OnEnter, on_refuse: OnRefuse
    ):
        self.call = call
        self.on_enter = on_enter
        self.on_refuse = on_refuse
        self.entered_s: float | None = None
        self.until_s = call.deadline_s
        self.waiter: fairqueue.Waiter | None = None

    def clear_callbacks(self) -> None:
        """Drops the callbacks, which would otherwise form reference cycles."""
        self.on_enter = _ignore
        self.on_refuse = _ignore


def _ignore(*arguments: object) -> None:
    """Replaces callbacks that were cleared."""


class Times:
    """Moving averages of a backend server's service time."""

    def __init__(self):
        self._all_s = _FIRST_MEAN_S
        self._by_route: dict[str, float] = {}

    @property
    def mean_s(self) -> float:
        """Mean service time over all calls, in seconds."""
        return self._all_s

    def of(self, route: str) -> float:
        """Returns the mean of a route, in seconds; 0 before its first call."""
        return self._by_route.get(route, 0.0)

    def note(self, route: str, took_s: float) -> None:
        """Records the service time of one call, in seconds."""
        self._all_s += (took_s - self._all_s) * (1 - _MEAN_KEPT)
        known = self._by_route.get(route)
        if known is None:
            self._by_route[route] = took_s
        else:
            self._by_route[route] += (took_s - known) * (1 - _MEAN_KEPT)


class CallQueue:
    """Starts calls while slots are free and queues the others."""

    def __init__(
        self,
        clock: timers.Clock,
        spread: collections.abc.Callable[[], float],
        felt: admission.CapacityEstimator,
    ):
        self._clock = clock
        self._spread = spread
        self._pressure = felt
        self._limit = 0
        self._running = 0
        self._times = Times()
        self._answered_s = -math.inf
        self._swept_s = clock.now_s()
        self._queue = fairqueue.create_fair_queue(_even)

    @property
    def load(self) -> outcomes.Load:
        """Current load of the backend server."""
        told = self._clock.now_s() - self._answered_s <= _TIMES_KEPT_S
        return outcomes.Load(
            self._running,
            len(self._queue),
            self._limit,
            self._times.mean_s if told else outcomes.NOT_MEASURED_S,
            self._pressure.share,
            {},
        )

    @property
    def running(self) -> int:
        """Number of running calls."""
        return self._running

    def set_limit(self, limit: int) -> None:
        """Sets how many calls may run at once; 0 admits none."""
        self._limit = limit
        self._pressure.note_running(self._running, limit)
        self._let_in()

    def enter(self, waiting: QueuedCall) -> None:
        """Starts a call, queues it or refuses it at once."""
        self._pressure.note_arrival()
        if self._running < self._limit and not len(self._queue):
            self._admit(waiting)
            return
        self._sweep_if_due()
        waiting.until_s = self._until_s(waiting.call)
        refusal = self._refusal(waiting)
        if refusal is not None:
            waiting.on_refuse(waiting, refusal)
            return
        self._push(waiting)

    def leave(self, waiting: QueuedCall, answered: bool) -> None:
        """Releases the slot of a call.

        Args:
            waiting: The call.
            answered: Whether the backend server answered it.
        """
        self._running -= 1
        self._pressure.note_running(self._running, self._limit)
        if answered:
            self._answered_s = self._clock.now_s()
            took_s = self._answered_s - waiting.entered_s
            self._times.note(waiting.call.route, took_s)
        self._let_in()

    def withdraw(self, waiting: QueuedCall) -> bool:
        """Removes a call from the queue; returns whether it was queued."""
        return waiting.waiter is not None and self._queue.remove(waiting.waiter)

    def refuse_all(self, reason: str) -> None:
        """Refuses all queued calls, which other daemons can take."""
        while len(self._queue):
            waiting = self._queue.pop(False).token
            waiting.on_refuse(waiting, outcomes.NotRun(reason))

    def sweep(self) -> None:
        """Refuses queued calls that have waited too long."""
        now_s = self._clock.now_s()
        self._swept_s = now_s
        for waiter in self._queue.waiters:
            waiting = waiter.token
            if now_s > waiting.until_s:
                self._queue.remove(waiter)
                waiting.on_refuse(waiting, self._not_run(outcomes.TOO_LATE))

    def _sweep_if_due(self) -> None:
        if self._clock.now_s() - self._swept_s >= _SWEEP_EVERY_S:
            self.sweep()

    def _admit(self, waiting: QueuedCall) -> None:
        self._running += 1
        waiting.entered_s = self._clock.now_s()
        waited_s = 0.0
        if waiting.waiter is not None:
            waited_s = waiting.entered_s - waiting.waiter.arrived_s
            waiting.waiter = None
        self._pressure.note_entered(waited_s)
        self._pressure.note_running(self._running, self._limit)
        waiting.on_enter(waiting)

    def _push(self, waiting: QueuedCall) -> None:
        call = waiting.call
        now_s = self._clock.now_s()
        waiting.waiter = fairqueue.Waiter(
            call.priority,
            call.client_account,
            now_s,
            call.deadline_s,
            waiting,
        )
        self._queue.push(waiting.waiter)
        turns = max(1.0, _QUEUE_S / self._times.mean_s)
        if len(self._queue) > self._limit * turns:
            dropped = self._queue.drop(False).token
            dropped.on_refuse(dropped, self._not_run(outcomes.OVERLOADED))

    def _until_s(self, call: calls.Call) -> float:
        """Returns the time at which a waiting call is refused."""
        latest_s = call.deadline_s - self._times.of(call.route) * _LEAST_PART
        if call.priority < 0:
            return latest_s
        now_s = self._clock.now_s()
        patient_s = now_s + (call.deadline_s - now_s) * _WAITED_PART
        return min(latest_s, patient_s)

    def _refusal(self, waiting: QueuedCall) -> outcomes.NotRun | None:
        call = waiting.call
        if self._limit == 0:
            return outcomes.NotRun(outcomes.NO_BACKEND_SERVER)
        ahead = self._queue.ahead_of(call.priority + 1)
        wait_s = (ahead + 1) * self._times.mean_s / self._limit
        own_s = self._times.of(call.route)
        begins_s = self._clock.now_s() + wait_s
        if begins_s > waiting.until_s or begins_s + own_s > call.deadline_s:
            return self._not_run(outcomes.OVERLOADED)
        return None

    def _not_run(self, reason: str) -> outcomes.NotRun:
        self._pressure.note_shed()
        clears_s = len(self._queue) * self._times.mean_s / max(1, self._limit)
        # Jitter, so that calls refused together aren't retried together.
        later_s = max(_SHORTEST_RETURN_S, clears_s) * (0.5 + self._spread())
        return outcomes.NotRun(reason, retry_after_s=later_s)

    def _let_in(self) -> None:
        while self._running < self._limit and len(self._queue):
            waiting = self._queue.pop(False).token
            if self._clock.now_s() > waiting.until_s:
                waiting.on_refuse(waiting, self._not_run(outcomes.TOO_LATE))
            else:
                self._admit(waiting)


def _even(client_account: str) -> float:
    return 1.0


class Parts(typing.NamedTuple):
    """Collaborators of a call queue.

    Attributes:
        clock: The clock.
        spread: Returns a random number from 0 to 1, for jitter.
        estimator: The capacity estimator, told of arrivals and refusals.
    """

    clock: timers.Clock
    spread: collections.abc.Callable[[], float]
    estimator: admission.CapacityEstimator


def create_call_queue(parts: Parts) -> CallQueue:
    """Returns an empty queue with a limit of 0."""
    return CallQueue(parts.clock, parts.spread, parts.estimator)
