"""Finds calls that should go to a faster backend server in another data centre.

If the backend servers in the caller's data centre are slow, calls with a short
target latency miss it there, while a faster backend server is only a few
milliseconds away. All other calls stay, since traffic between data centres is
charged for.
"""

from savorybend.relay import calls

# Service times vary: a call whose expected latency exceeds this fraction of its
# target latency often misses the target.
_MAX_TARGET_FRACTION = 0.3
_MAX_BODY_BYTES = 16_384
_FACTOR_DECAY = 0.95


class RouteLatency:
    """Latency of each route relative to the mean over all routes."""

    def __init__(self):
        self._factors: dict[str, float] = {}

    def note(self, route: str, took_s: float, mean_s: float) -> None:
        """Records the latency of one call.

        Args:
            route: The call's route.
            took_s: Time from dispatch to answer, in seconds.
            mean_s: Mean time that its backend server reported, in seconds.
        """
        factor = took_s / mean_s
        known = self._factors.get(route, factor)
        self._factors[route] = known + (factor - known) * (1 - _FACTOR_DECAY)

    def often_misses_target(self, call: calls.Call, mean_s: float) -> bool:
        """Returns whether a call would often exceed its target latency nearby.

        Calls with large bodies stay nearby at any latency.

        Args:
            call: The call.
            mean_s: Smallest mean time of the backend servers nearby, in
                seconds.
        """
        if len(call.body) > _MAX_BODY_BYTES:
            return False
        factor = self._factors.get(call.route)
        if factor is None:
            return False
        return factor * mean_s > _MAX_TARGET_FRACTION * call.target_latency_s


def create_route_latency() -> RouteLatency:
    """Returns an estimator without measurements."""
    return RouteLatency()
