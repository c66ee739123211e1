"""How long calls of each route take, to refuse what can't be in time."""

import typing

from savorybend.internal import timers

_NEWEST_PART = 0.1
# After so long without an answer the estimate is in doubt: one call is let
# through to renew it, since refusing all of them would keep it for ever.
_RENEWAL_S = 1.0
# Most calls must have a chance: the estimate refuses only where even a call
# twice as fast as the mean would be late.
_FASTEST_PART = 0.5
_MOST_ROUTES = 10_000


class _Estimate(typing.NamedTuple):
    mean_s: float
    renewed_s: float


class ServiceTimes:
    """Mean times by route, children included."""

    def __init__(self, clock: timers.Clock):
        self._clock = clock
        self._routes: dict[str, _Estimate] = {}

    def observe(self, route: str, seconds: float) -> None:
        """Takes the time of an answered call into account."""
        known = self._routes.get(route)
        if known is None and len(self._routes) >= _MOST_ROUTES:
            return
        mean_s = seconds
        if known is not None:
            mean_s = known.mean_s + (seconds - known.mean_s) * _NEWEST_PART
        self._routes[route] = _Estimate(mean_s, self._clock.now_s())

    def mean_s(self, route: str) -> float:
        """Returns a route's mean time, or zero where none is known."""
        known = self._routes.get(route)
        return 0.0 if known is None else known.mean_s

    def is_too_late(self, route: str, left_s: float) -> bool:
        """Returns whether a call with `left_s` seconds left is in vain."""
        known = self._routes.get(route)
        if known is None:
            return left_s <= 0
        if left_s >= known.mean_s * _FASTEST_PART:
            return False
        now_s = self._clock.now_s()
        if now_s - known.renewed_s < _RENEWAL_S:
            return True
        self._routes[route] = known._replace(renewed_s=now_s)
        return left_s <= 0


def create_service_times(clock: timers.Clock) -> ServiceTimes:
    """Returns estimates that know of no route yet."""
    return ServiceTimes(clock)
