"""Splits a route's calls among its services by weight.

Uses smooth weighted round robin, which interleaves services as evenly as their
weights allow, so that short sequences of calls keep the proportions too.
"""

from savorybend.relay import calls

_MOST_ROUTES = 10_000


class Split:
    """Weighted round robin state of each route."""

    def __init__(self):
        self._credits: dict[tuple, list[float]] = {}

    def choose(self, route: calls.Route) -> str:
        """Returns the service for the next call on a route."""
        targets = route.targets
        if len(targets) == 1:
            return targets[0].service
        credits = self._credits.get((route.name, targets))
        if credits is None:
            if len(self._credits) >= _MOST_ROUTES:
                self._credits.clear()
            credits = [0.0] * len(targets)
            self._credits[(route.name, targets)] = credits
        total = 0.0
        for index, target in enumerate(targets):
            credits[index] += target.weight
            total += target.weight
        best = max(range(len(targets)), key=credits.__getitem__)
        credits[best] -= total
        return targets[best].service


def create_split() -> Split:
    """Returns a split that begins with each route's largest weight."""
    return Split()
