"""A clock that includes system suspension, and a timer service."""

import asyncio
import collections.abc
import heapq
import itertools
import time
import typing

import structlog

# Keeps a rounding error from running a periodic callback twice in one interval.
_SHORTEST_S = 1e-6

_log = structlog.get_logger()

Callback = collections.abc.Callable[[], None]


def _do_nothing() -> None:
    """Replaces the callback of a cancelled subscription."""


class Clock(typing.Protocol):
    """A source of time."""

    def now_s(self) -> float:
        """Returns the seconds since an arbitrary epoch."""


class WakeUp(typing.Protocol):
    """Handle of a callback that a waker has scheduled."""

    def cancel(self) -> None:
        """Cancels the callback."""


class Waker(typing.Protocol):
    """A scheduler of one-shot callbacks, such as an event loop."""

    def call_later(self, delay_s: float, callback: Callback) -> WakeUp:
        """Calls `callback` after `delay_s` seconds."""


class SystemClock:
    """The system's boot-time clock.

    It advances while the system is suspended, so that a lease holder that was
    suspended finds its lease expired.
    """

    def now_s(self) -> float:
        """Returns the seconds since boot, suspension included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class WallClock:
    """The system's time of day, in seconds since the Unix epoch."""

    def now_s(self) -> float:
        """Returns the seconds since the Unix epoch."""
        return time.time()


class Subscription:
    """A one-shot or periodic callback of the timer service."""

    __slots__ = ("_active", "callback", "interval_s")

    def __init__(self, callback: Callback, interval_s: float | None):
        self._active = True
        self.callback = callback
        self.interval_s = interval_s

    @property
    def active(self) -> bool:
        """Whether the callback is still to be called."""
        return self._active

    def cancel(self) -> None:
        """Ends the subscription; cancelling twice does nothing.

        The callback's references are released at once, since the service may
        keep the subscription until its due time.
        """
        self._active = False
        self.callback = _do_nothing


class TimerService:
    """Runs callbacks when they are due."""

    def __init__(self, clock: Clock, waker: Waker | None):
        self._clock = clock
        self._waker = waker
        self._queue: list[tuple[float, int, Subscription]] = []
        self._order = itertools.count()
        self._armed_for_s = 0.0
        self._wake_up: WakeUp | None = None

    @property
    def clock(self) -> Clock:
        """The clock that the service uses."""
        return self._clock

    def after(self, delay_s: float, callback: Callback) -> Subscription:
        """Calls `callback` once, in `delay_s` seconds."""
        subscription = Subscription(callback, None)
        self._push(self._clock.now_s() + max(0.0, delay_s), subscription)
        return subscription

    def every(self, interval_s: float, callback: Callback) -> Subscription:
        """Calls `callback` each `interval_s` seconds until cancelled.

        Raises:
            ValueError: The interval is not above zero.
        """
        if interval_s <= 0:
            raise ValueError(
                f"interval {interval_s} s must be above zero: give the "
                "seconds between two calls"
            )
        subscription = Subscription(callback, interval_s)
        self._push(self._clock.now_s() + interval_s, subscription)
        return subscription

    def run_due(self) -> None:
        """Runs all due callbacks; called directly with a manual clock."""
        now_s = self._clock.now_s()
        while self._queue and self._queue[0][0] <= now_s:
            due_s, _, subscription = heapq.heappop(self._queue)
            if not subscription.active:
                continue
            if subscription.interval_s is not None:
                # After a pause, missed intervals are skipped, since a burst
                # of callbacks would only repeat the same work.
                missed = (now_s - due_s) // subscription.interval_s
                next_s = due_s + (missed + 1) * subscription.interval_s
                self._push(max(next_s, now_s + _SHORTEST_S), subscription)
            self._run(subscription)
        self._arm()

    def _run(self, subscription: Subscription) -> None:
        try:
            subscription.callback()
        except Exception:
            if self._waker is None:
                raise
            # One part's error must not stop the timers of all others.
            _log.exception("timer_callback_failed")

    def _push(self, due_s: float, subscription: Subscription) -> None:
        entry = (due_s, next(self._order), subscription)
        heapq.heappush(self._queue, entry)
        self._arm()

    def _arm(self) -> None:
        while self._queue and not self._queue[0][2].active:
            heapq.heappop(self._queue)
        if self._waker is None or not self._queue:
            return
        due_s = self._queue[0][0]
        if self._wake_up is not None:
            if self._armed_for_s <= due_s:
                return
            # At most one wake-up is pending: a stale one would arm another when
            # it fires, and their number would grow without bound.
            self._wake_up.cancel()
        self._armed_for_s = due_s
        delay_s = max(0.0, due_s - self._clock.now_s())
        self._wake_up = self._waker.call_later(delay_s, self._wake)

    def _wake(self) -> None:
        self._wake_up = None
        self.run_due()


class DelayedCall:
    """Coalesces requests: runs its callback a delay after the first one.

    Requests made while the callback is pending have no effect.
    """

    def __init__(
        self, service: TimerService, delay_s: float, callback: Callback
    ):
        self._service = service
        self._delay_s = delay_s
        self._callback = callback
        self._asked = False

    def schedule(self) -> None:
        """Schedules the callback unless it is already pending."""
        if not self._asked:
            self._asked = True
            self._service.after(self._delay_s, self._call)

    def _call(self) -> None:
        self._asked = False
        self._callback()


def create_timer_service(clock: Clock | None = None) -> TimerService:
    """Returns a service driven by the running asyncio loop."""
    return TimerService(clock or SystemClock(), asyncio.get_running_loop())


def create_manual_timer_service(clock: Clock) -> TimerService:
    """Returns a service whose callbacks run only in `run_due`."""
    return TimerService(clock, None)
