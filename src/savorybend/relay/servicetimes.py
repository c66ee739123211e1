"""Moving averages of a backend server's service time."""

_MEAN_DECAY = 0.95
_INITIAL_MEAN_S = 0.05


class ServiceTimes:
    """Averages over all calls and by route."""

    def __init__(self):
        self._mean_s = _INITIAL_MEAN_S
        self._by_route: dict[str, float] = {}

    @property
    def mean_s(self) -> float:
        """Mean service time over all calls, in seconds."""
        return self._mean_s

    def of(self, route: str) -> float:
        """Returns the mean of a route, in seconds; 0 before its first call."""
        return self._by_route.get(route, 0.0)

    def note(self, route: str, took_s: float) -> None:
        """Records the service time of one call, in seconds."""
        self._mean_s += (took_s - self._mean_s) * (1 - _MEAN_DECAY)
        known = self._by_route.get(route)
        if known is None:
            self._by_route[route] = took_s
        else:
            self._by_route[route] += (took_s - known) * (1 - _MEAN_DECAY)
