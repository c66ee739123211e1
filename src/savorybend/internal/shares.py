"""Even shares of what is short, across client accounts by their weights."""

import collections
import collections.abc
import random
import typing

from savorybend.internal import timers

_WINDOW_S = 1.0
# Shares are looked up at this grain, so that one window needs few of them.
_GRAIN = 0.005


class Demand(typing.NamedTuple):
    """What an account asks for.

    Attributes:
        amount: How much.
        weight: Its part against the others'.
    """

    amount: float
    weight: float


def water_level(
    demands: collections.abc.Iterable[Demand], room: float
) -> float:
    """Returns the amount for each unit of weight that just fills `room`.

    Whoever asks for less than its share gets all of it, and what it leaves
    goes to the others (max-min fairness).
    """
    left = sorted(demands, key=lambda one: one.amount / one.weight)
    weight = sum(one.weight for one in left)
    level = 0.0
    for one in left:
        level = room / weight
        if one.amount / one.weight > level:
            return level
        room -= one.amount
        weight -= one.weight
    return float("inf")


class Places:
    """Gives each call a place in [0, 1) within its class.

    Letting through the places below c lets through the part c of the class,
    divided across accounts by max-min fairness of their demand.
    """

    def __init__(
        self,
        clock: timers.Clock,
        rng: random.Random,
        weight_of: collections.abc.Callable[[str], float],
    ):
        self._clock = clock
        self._rng = rng
        self._weight_of = weight_of
        self._now: collections.Counter[str] = collections.Counter()
        self._before: collections.Counter[str] = collections.Counter()
        self._window_ends_s = clock.now_s() + _WINDOW_S
        self._levels: dict[int, float] = {}

    def note(self, client_account: str) -> None:
        """Counts a call towards its account's demand."""
        if self._clock.now_s() >= self._window_ends_s:
            self._turn()
        self._now[client_account] += 1

    def admits(self, client_account: str, part: float) -> bool:
        """Returns whether a call is among the part that is let through."""
        if part >= 1:
            return True
        if part <= 0:
            return False
        level = self._level(part)
        counts = self._counts
        demand = counts[client_account] / self._weight_of(client_account)
        if demand <= level:
            return True
        return self._rng.random() < level / demand

    @property
    def _counts(self) -> collections.Counter[str]:
        return self._before or self._now

    def _level(self, part: float) -> float:
        step = int(part / _GRAIN)
        known = self._levels.get(step)
        if known is not None and self._before:
            return known
        demands = [
            Demand(count, self._weight_of(name))
            for name, count in self._counts.items()
        ]
        total = sum(one.amount for one in demands)
        level = water_level(demands, total * (step + 0.5) * _GRAIN)
        self._levels[step] = level
        return level

    def _turn(self) -> None:
        late_s = self._clock.now_s() - self._window_ends_s
        stale = late_s > _WINDOW_S
        self._before = collections.Counter() if stale else self._now
        self._now = collections.Counter()
        self._levels.clear()
        self._window_ends_s = self._clock.now_s() + _WINDOW_S


def create_places(
    clock: timers.Clock,
    rng: random.Random,
    weight_of: collections.abc.Callable[[str], float],
) -> Places:
    """Returns places that know of no demand yet."""
    return Places(clock, rng, weight_of)
