"""Limits the retries to each service to a fraction of its calls.

Without a limit, retries multiply at each hop. Each daemon limits its own
retries, so the limit holds over all daemons without coordination.
"""

import collections.abc
import math
import typing

from savorybend.internal import timers

_ONE_RETRY = 1.0


class Terms(typing.NamedTuple):
    """Parameters of a retry budget.

    Attributes:
        per_call: Retries that each call of a client adds to the budget.
        reserve: Retries that may be saved up at any call rate.
        fleet_reserve: The same over all daemons together.
        window_s: Time constant over which calls are counted, in seconds.
    """

    per_call: float
    reserve: float
    fleet_reserve: float
    window_s: float


class Parts(typing.NamedTuple):
    """Dependencies of `RetryBudget`.

    Attributes:
        clock: The source of time.
        size: Returns the number of daemons in the fleet.
        random_fraction: Returns a random number from 0 to 1.
    """

    clock: timers.Clock
    size: collections.abc.Callable[[], int]
    random_fraction: collections.abc.Callable[[], float]


class _Service:
    __slots__ = ("left", "recent", "at_s")

    def __init__(self, left: float, now_s: float):
        self.left = left
        self.recent = 0.0
        self.at_s = now_s


class RetryBudget:
    """Retries left, by service."""

    def __init__(self, terms: Terms, parts: Parts):
        self._terms = terms
        self._parts = parts
        self._clock = parts.clock
        self._services: dict[str, _Service] = {}

    def note_call(self, service: str) -> None:
        """Records a client's call, which adds `per_call` retries."""
        found = self._get(service)
        now_s = self._clock.now_s()
        passed_s = now_s - found.at_s
        found.recent *= math.exp(-passed_s / self._terms.window_s)
        found.recent += 1
        found.at_s = now_s
        # The cap grows with the call rate: when a VM is lost, all calls that
        # it was running are retried at once.
        most = self._reserve + self._terms.per_call * found.recent
        most = max(_ONE_RETRY, most)
        found.left = min(most, found.left + self._terms.per_call)

    def take(self, service: str) -> bool:
        """Spends a retry; returns whether one was left."""
        found = self._get(service)
        if found.left < _ONE_RETRY:
            return False
        found.left -= _ONE_RETRY
        return True

    @property
    def _reserve(self) -> float:
        share = self._terms.fleet_reserve / max(1, self._parts.size())
        return min(self._terms.reserve, share)

    def _initial(self) -> float:
        """Returns the reserve, of which less than one is of no use."""
        reserve = self._reserve
        if reserve >= _ONE_RETRY:
            return reserve
        return _ONE_RETRY if self._parts.random_fraction() < reserve else 0.0

    def _get(self, service: str) -> _Service:
        found = self._services.get(service)
        if found is None:
            found = _Service(self._initial(), self._clock.now_s())
            self._services[service] = found
        return found


def create_retry_budget(terms: Terms, parts: Parts) -> RetryBudget:
    """Returns a budget with a full reserve for each service."""
    return RetryBudget(terms, parts)
