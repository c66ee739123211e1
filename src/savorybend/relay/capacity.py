"""Estimates what share of its offered load a backend server can handle."""

import math

from savorybend.internal import timers
from savorybend.relay import admission

_MIN_SHARE = 0.02
_WINDOW_S = 0.25
# A window is extended until it has this many calls or reaches its maximum
# length, since a few calls give too noisy an estimate.
_MIN_ARRIVALS = 10
_MAX_WINDOW_S = 1.0
# Bursts cause queue delays up to this long; a longer minimum delay within a
# window means a standing queue.
_STANDING_QUEUE_DELAY_S = 0.02
# Target utilization of the slots; the rest is headroom for bursts.
_TARGET_UTILIZATION = 0.95
_OVERLOAD_FACTOR = 0.99
# Calls that were admitted earlier go on arriving, so a larger cut would be
# repeated before it takes effect.
_MIN_OVERLOAD_FACTOR = 0.75
_MAX_GROWTH_FACTOR = 1.1
# A changed share takes effect only after calls have passed from the ingress to
# the backend server, so each window corrects only a part of the difference.
_GROWTH_EXPONENT = 0.2
# Below this utilization the overload is over, and the share grows faster.
_LOW_UTILIZATION = 0.5
_LOW_UTILIZATION_GROWTH_FACTOR = 1.5
# Shed fraction that is ignored, since bursts cause a few refusals at any load.
_IGNORED_SHED_FRACTION = 0.03


class CapacityEstimator:
    """Estimates the share of offered load that a backend server can handle."""

    def __init__(self, clock: timers.Clock):
        self._clock = clock
        self._share = admission.FULL_SHARE
        self._limit = 0
        self._rate_per_s = math.inf
        self._started = 0
        self._running = 0
        self._last_change_s = clock.now_s()
        self._window_start_s = self._last_change_s
        self._busy_s = 0.0
        self._arrived = 0
        self._shed = 0
        self._min_wait_s: float | None = None

    @property
    def share(self) -> float:
        """The estimated share, from 0 to 1."""
        self._end_window_if_due()
        return self._share

    def set_rate(self, rate_per_s: float) -> None:
        """Sets how many calls may start per second.

        Args:
            rate_per_s: The rate, above 0; infinite for any number.
        """
        if rate_per_s > self._rate_per_s:
            # What was learned under the old limit would refuse calls that the
            # new one has room for.
            grown = self._share * rate_per_s / self._rate_per_s
            self._share = min(admission.FULL_SHARE, grown)
        self._rate_per_s = rate_per_s

    def note_arrival(self) -> None:
        """Records that a call arrived at the queue."""
        self._arrived += 1

    def note_shed(self) -> None:
        """Records that the queue refused a call because of overload."""
        self._shed += 1

    def note_running(self, running: int, limit: int) -> None:
        """Records the number of running calls and the concurrency limit."""
        now_s = self._clock.now_s()
        self._busy_s += self._running * (now_s - self._last_change_s)
        self._last_change_s = now_s
        self._running = running
        self._limit = limit
        self._end_window_if_due()

    def note_started(self, waited_s: float) -> None:
        """Records the queue delay of a started call, in seconds."""
        self._started += 1
        if self._min_wait_s is None or waited_s < self._min_wait_s:
            self._min_wait_s = waited_s

    def _end_window_if_due(self) -> None:
        now_s = self._clock.now_s()
        length_s = now_s - self._window_start_s
        if length_s < _WINDOW_S:
            return
        if self._arrived < _MIN_ARRIVALS and length_s < _MAX_WINDOW_S:
            return
        busy_s = self._busy_s + self._running * (now_s - self._last_change_s)
        if self._limit:
            utilization = max(
                busy_s / (length_s * self._limit),
                self._started / (length_s * self._rate_per_s),
            )
            self._adjust_share(utilization, length_s)
        self._window_start_s = now_s
        self._last_change_s = now_s
        self._busy_s = 0.0
        self._arrived = 0
        self._shed = 0
        self._started = 0
        self._min_wait_s = None

    def _adjust_share(self, utilization: float, length_s: float) -> None:
        shed_fraction = self._shed / max(1, self._arrived)
        wait_s = self._min_wait_s or 0.0
        if (
            shed_fraction > _IGNORED_SHED_FRACTION
            or wait_s > _STANDING_QUEUE_DELAY_S
        ):
            factor = _OVERLOAD_FACTOR * (1 - shed_fraction) / (1 + wait_s)
            self._share *= max(_MIN_OVERLOAD_FACTOR, factor)
        elif utilization < _LOW_UTILIZATION:
            # With few calls the window is long, and calls are few because the
            # share is small.
            windows = length_s / _WINDOW_S
            self._share *= _LOW_UTILIZATION_GROWTH_FACTOR**windows
        elif self._share < admission.FULL_SHARE:
            factor = (_TARGET_UTILIZATION / utilization) ** _GROWTH_EXPONENT
            self._share *= min(_MAX_GROWTH_FACTOR, factor)
        self._share = min(admission.FULL_SHARE, max(_MIN_SHARE, self._share))


def create_capacity_estimator(clock: timers.Clock) -> CapacityEstimator:
    """Returns an estimator that begins with the full share."""
    return CapacityEstimator(clock)
