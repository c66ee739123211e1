"""Which calls are better off with a quick backend server that is far away.

Answers backend servers of unequal speed: where the one in the caller's data
centre is slow, calls that are worth most when answered soon come late there,
while a quick one elsewhere is a few milliseconds away. All others stay near,
since bytes between data centres cost.
"""

from savorybend.relay import calls

# Work varies, so calls that take more than this part of what their callers
# have patience for on average often take longer than all of it.
_PATIENCE_PART = 0.3
_LARGEST_BODY_BYTES = 16_384
_KEPT = 0.95


class RouteLatency:
    """How long the calls of each route take, against the others' mean."""

    def __init__(self):
        self._factors: dict[str, float] = {}

    def note(self, route: str, took_s: float, mean_s: float) -> None:
        """Takes the time of one call.

        Args:
            route: The call's route.
            took_s: From its sending to its answer, in seconds.
            mean_s: The mean that its backend server told, in seconds.
        """
        factor = took_s / mean_s
        known = self._factors.get(route, factor)
        self._factors[route] = known + (factor - known) * (1 - _KEPT)

    def applies(self, call: calls.Call, mean_s: float) -> bool:
        """Returns whether a call is to go where it is quickest.

        Args:
            call: The call.
            mean_s: The mean of the backend servers nearby, in seconds.
        """
        if len(call.body) > _LARGEST_BODY_BYTES:
            return False
        factor = self._factors.get(call.route)
        if factor is None:
            return False
        return factor * mean_s > _PATIENCE_PART * call.target_latency_s


def create_route_latency() -> RouteLatency:
    """Returns one that knows no route yet."""
    return RouteLatency()
