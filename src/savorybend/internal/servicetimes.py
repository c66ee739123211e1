"""Mean service times by route, to refuse calls that would miss a deadline."""

import typing

from savorybend.internal import timers

# Weight of the newest call in the exponential moving average.
_NEWEST_WEIGHT = 0.1
# An estimate that is older than this may be outdated. One call is admitted to
# renew it, since refusing all calls would preserve it forever.
_RENEWAL_INTERVAL_S = 1.0
# Refuses a call only if it would be late even when twice as fast as the mean,
# so that most calls still get a chance.
_FASTEST_FRACTION = 0.5
_MAX_ROUTES = 10_000


class _Estimate(typing.NamedTuple):
    """A route's mean time and when it was renewed, in seconds."""

    mean_s: float
    renewed_s: float


class ServiceTimes:
    """Mean service times by route, child calls included."""

    def __init__(self, clock: timers.Clock):
        self._clock = clock
        self._estimates: dict[str, _Estimate] = {}

    def observe(self, route: str, seconds: float) -> None:
        """Records the time that an answered call took, in seconds."""
        estimate = self._estimates.get(route)
        if estimate is None and len(self._estimates) >= _MAX_ROUTES:
            return
        mean_s = seconds
        if estimate is not None:
            mean_s = (
                estimate.mean_s + (seconds - estimate.mean_s) * _NEWEST_WEIGHT
            )
        self._estimates[route] = _Estimate(mean_s, self._clock.now_s())

    def mean_s(self, route: str) -> float:
        """Returns a route's mean time in seconds, or zero if unknown."""
        estimate = self._estimates.get(route)
        return 0.0 if estimate is None else estimate.mean_s

    def is_too_late(self, route: str, left_s: float) -> bool:
        """Returns whether a call is expected to miss its deadline.

        Returns False for one call each time the estimate has expired.

        Args:
            route: Name of the call's route.
            left_s: Seconds until its deadline, without its time in the queue.
        """
        estimate = self._estimates.get(route)
        if estimate is None:
            return left_s <= 0
        if left_s >= estimate.mean_s * _FASTEST_FRACTION:
            return False
        now_s = self._clock.now_s()
        if now_s - estimate.renewed_s < _RENEWAL_INTERVAL_S:
            return True
        self._estimates[route] = estimate._replace(renewed_s=now_s)
        return left_s <= 0


def create_service_times(clock: timers.Clock) -> ServiceTimes:
    """Returns service times without estimates."""
    return ServiceTimes(clock)
