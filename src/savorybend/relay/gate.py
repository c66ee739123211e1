"""The queue beside a backend server: which calls it works on, and when.

Answers the load of more calls than slots. Calls that a running request waits
for go first, since refusing them wastes the work already done; then the more
important ones, then the account that is furthest behind its fair share.
"""

import collections.abc
import math
import typing

from savorybend.internal import fairqueue
from savorybend.internal import timers
from savorybend.relay import calls
from savorybend.relay import outcomes
from savorybend.relay import pressure

_MEAN_KEPT = 0.95
_FIRST_MEAN_S = 0.05
# A longer queue answers no more calls, it only answers all of them later. So
# much of a wait evens out bursts, or a turn of all slots where calls are long.
_QUEUE_S = 0.1
# Part of the mean time below which an answer isn't to be expected any more.
_LEAST_PART = 0.6
# A call that enters waits no longer than this part of its caller's time, so
# that one which is given up on can still come back. What a running request
# waits for stays: its caller can't come back without the work done so far.
_WAITED_PART = 0.35
# While calls come and go, those that waited for long enough are looked for.
_SWEEP_EVERY_S = 0.03
_SHORTEST_RETURN_S = 0.05
# A backend server that answered nothing for so long may have been cold then,
# so others are told nothing of its times and try it anew.
_TIMES_KEPT_S = 2.0

OnEnter = collections.abc.Callable[["Waiting"], None]
OnRefuse = collections.abc.Callable[["Waiting", outcomes.NotRun], None]


class Waiting:
    """A call in the gate's hands.

    Attributes:
        call: The call.
        on_enter: Called when the backend server may have it.
        on_refuse: Called when it won't be let in.
        entered_s: When it was let in; None while it waits.
        until_s: When it is given up on, should it wait so long.
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

    def let_go(self) -> None:
        """Forgets whom to call, so that nothing holds on to itself."""
        self.on_enter = _ignore
        self.on_refuse = _ignore


def _ignore(*arguments: object) -> None:
    """Stands for a callback that is not called any more."""


class Times:
    """Mean times that a backend server takes, over all and by route."""

    def __init__(self):
        self._all_s = _FIRST_MEAN_S
        self._by_route: dict[str, float] = {}

    @property
    def mean_s(self) -> float:
        """Mean over all calls, in seconds."""
        return self._all_s

    def of(self, route: str) -> float:
        """Returns the mean of a route, in seconds; 0 before its first call."""
        return self._by_route.get(route, 0.0)

    def note(self, route: str, took_s: float) -> None:
        """Takes the time of one call, in seconds."""
        self._all_s += (took_s - self._all_s) * (1 - _MEAN_KEPT)
        known = self._by_route.get(route)
        if known is None:
            self._by_route[route] = took_s
        else:
            self._by_route[route] += (took_s - known) * (1 - _MEAN_KEPT)


class Gate:
    """Lets calls in while there are slots, and keeps the others in order."""

    def __init__(
        self,
        clock: timers.Clock,
        spread: collections.abc.Callable[[], float],
        felt: pressure.Pressure,
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
        """How busy the backend server is."""
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
        """Calls that were let in."""
        return self._running

    def set_limit(self, limit: int) -> None:
        """Sets how many calls may be in at once; 0 lets none in."""
        self._limit = limit
        self._pressure.note_running(self._running, limit)
        self._let_in()

    def enter(self, waiting: Waiting) -> None:
        """Lets a call in, makes it wait, or refuses it at once."""
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

    def leave(self, waiting: Waiting, answered: bool) -> None:
        """Notes that a call which was let in is over."""
        self._running -= 1
        self._pressure.note_running(self._running, self._limit)
        if answered:
            self._answered_s = self._clock.now_s()
            took_s = self._answered_s - waiting.entered_s
            self._times.note(waiting.call.route, took_s)
        self._let_in()

    def withdraw(self, waiting: Waiting) -> bool:
        """Takes a call out of the queue; returns whether it was there."""
        return waiting.waiter is not None and self._queue.remove(waiting.waiter)

    def refuse_all(self, reason: str) -> None:
        """Refuses everything that waits, since it can go elsewhere."""
        while len(self._queue):
            waiting = self._queue.pop(False).token
            waiting.on_refuse(waiting, outcomes.NotRun(reason))

    def sweep(self) -> None:
        """Refuses calls that have waited for too long."""
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

    def _admit(self, waiting: Waiting) -> None:
        self._running += 1
        waiting.entered_s = self._clock.now_s()
        waited_s = 0.0
        if waiting.waiter is not None:
            waited_s = waiting.entered_s - waiting.waiter.arrived_s
            waiting.waiter = None
        self._pressure.note_entered(waited_s)
        self._pressure.note_running(self._running, self._limit)
        waiting.on_enter(waiting)

    def _push(self, waiting: Waiting) -> None:
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
        """Returns when a call that waits is given up on."""
        latest_s = call.deadline_s - self._times.of(call.route) * _LEAST_PART
        if call.priority < 0:
            return latest_s
        now_s = self._clock.now_s()
        patient_s = now_s + (call.deadline_s - now_s) * _WAITED_PART
        return min(latest_s, patient_s)

    def _refusal(self, waiting: Waiting) -> outcomes.NotRun | None:
        call = waiting.call
        if self._limit == 0:
            return outcomes.NotRun(outcomes.NO_BACKEND_SERVER)
        ahead = self._queue.count_more_important(call.priority + 1)
        wait_s = (ahead + 1) * self._times.mean_s / self._limit
        own_s = self._times.of(call.route)
        begins_s = self._clock.now_s() + wait_s
        if begins_s > waiting.until_s or begins_s + own_s > call.deadline_s:
            return self._not_run(outcomes.OVERLOADED)
        return None

    def _not_run(self, reason: str) -> outcomes.NotRun:
        self._pressure.note_shed()
        clears_s = len(self._queue) * self._times.mean_s / max(1, self._limit)
        # Spread, so that those refused together don't come back together.
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
    """What a gate is made of.

    Attributes:
        clock: The time.
        spread: Returns a random number from 0 to 1.
        felt: Hears what the gate sees.
    """

    clock: timers.Clock
    spread: collections.abc.Callable[[], float]
    felt: pressure.Pressure


def create_gate(parts: Parts) -> Gate:
    """Returns a gate that lets nothing in yet."""
    return Gate(parts.clock, parts.spread, parts.felt)
