"""Even shares of what is short, across client accounts by their weights."""

import collections
import collections.abc
import typing

from savorybend.internal import timers

_WINDOW_S = 1.0
# Shares are looked up at this grain, so that one window needs few of them.
_GRAIN = 0.005
# Rates over a shorter time say too little.
_SHORTEST_SPAN_S = 0.05
# What an account didn't use of its share is kept for so long.
_KEPT_S = 2.0


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


class _Allowance(typing.NamedTuple):
    """What an account may still send.

    Attributes:
        calls: How many calls.
        at_s: When that was so.
    """

    calls: float
    at_s: float


class FairThrottle:
    """Lets a part of a class through, evenly across client accounts.

    The part is taken of the demand of the last second and divided by max-min
    fairness, into a rate for each account. An account that asks for less than
    its rate is let through whole, whatever others ask for; so when demand
    falls, everything is let through even before news of it has come back.
    """

    def __init__(
        self,
        clock: timers.Clock,
        weight_of: collections.abc.Callable[[str], float],
    ):
        self._clock = clock
        self._weight_of = weight_of
        self._now: collections.Counter[str] = collections.Counter()
        self._before: collections.Counter[str] = collections.Counter()
        self._allowances: dict[str, _Allowance] = {}
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
        weight = self._weight_of(client_account)
        if self._counts[client_account] / weight <= level:
            return True
        return self._take(client_account, level * weight / self._span_s)

    @property
    def _counts(self) -> collections.Counter[str]:
        return self._before or self._now

    @property
    def _span_s(self) -> float:
        """How long the counts were taken, in seconds."""
        if self._before:
            return _WINDOW_S
        left_s = self._window_ends_s - self._clock.now_s()
        return max(_SHORTEST_SPAN_S, _WINDOW_S - left_s)

    def _take(self, client_account: str, rate_per_s: float) -> bool:
        now_s = self._clock.now_s()
        most = 1.0 + rate_per_s * _KEPT_S
        known = self._allowances.get(client_account, _Allowance(most, now_s))
        earned = (now_s - known.at_s) * rate_per_s
        left = min(most, known.calls + earned)
        admitted = left >= 1.0
        self._allowances[client_account] = _Allowance(left - admitted, now_s)
        return admitted

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
        self._allowances = {
            name: left
            for name, left in self._allowances.items()
            if name in self._before
        }
        self._levels.clear()
        self._window_ends_s = self._clock.now_s() + _WINDOW_S


def create_fair_throttle(
    clock: timers.Clock,
    weight_of: collections.abc.Callable[[str], float],
) -> FairThrottle:
    """Returns places that know of no demand yet."""
    return FairThrottle(clock, weight_of)
