"""Divides capacity across client accounts by weighted max-min fairness."""

import collections
import collections.abc
import typing

from savorybend.internal import timers

_WINDOW_S = 1.0
# Fractions are rounded to this step, so that a window computes few levels.
_FRACTION_STEP = 0.005
# Counts over a shorter time are too noisy for a rate.
_MIN_SPAN_S = 0.05
# An account may save up its unused allowance for this long.
_ALLOWANCE_LIFETIME_S = 2.0


class Demand(typing.NamedTuple):
    """The demand of one account.

    Attributes:
        amount: Amount demanded, in the unit of the capacity.
        weight: Its weight relative to the other accounts.
    """

    amount: float
    weight: float


def water_level(
    demands: collections.abc.Iterable[Demand], room: float
) -> float:
    """Returns the amount per unit of weight that exactly uses up `room`.

    An account that demands less than its share gets all it demands, and the
    rest of its share goes to the others (max-min fairness). Returns infinity if
    all demands fit.
    """
    left = sorted(demands, key=lambda demand: demand.amount / demand.weight)
    weight = sum(demand.weight for demand in left)
    level = 0.0
    for demand in left:
        level = room / weight
        if demand.amount / demand.weight > level:
            return level
        room -= demand.amount
        weight -= demand.weight
    return float("inf")


class _Allowance(typing.NamedTuple):
    """The calls that an account may still send.

    Attributes:
        calls: Number of calls; may have a fraction.
        at_s: When `calls` was computed, in seconds.
    """

    calls: float
    at_s: float


class FairThrottle:
    """Admits a fraction of a call class, fairly across client accounts.

    The fraction applies to the demand of the last second, which max-min
    fairness divides into a rate for each account. All calls of an account below
    its rate are admitted, whatever the others demand. So when demand falls,
    every call is admitted even before the fraction has been updated.
    """

    def __init__(
        self,
        clock: timers.Clock,
        weight_of: collections.abc.Callable[[str], float],
    ):
        self._clock = clock
        self._weight_of = weight_of
        self._current_counts: collections.Counter[str] = collections.Counter()
        self._previous_counts: collections.Counter[str] = collections.Counter()
        self._allowances: dict[str, _Allowance] = {}
        self._window_ends_s = clock.now_s() + _WINDOW_S
        self._levels: dict[int, float] = {}

    def note(self, client_account: str) -> None:
        """Counts a call towards its account's demand."""
        if self._clock.now_s() >= self._window_ends_s:
            self._start_window()
        self._current_counts[client_account] += 1

    def admits(self, client_account: str, part: float) -> bool:
        """Returns whether to admit a call; `part` is the fraction to admit."""
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
        return self._previous_counts or self._current_counts

    @property
    def _span_s(self) -> float:
        """Length of time that the counts cover, in seconds."""
        if self._previous_counts:
            return _WINDOW_S
        left_s = self._window_ends_s - self._clock.now_s()
        return max(_MIN_SPAN_S, _WINDOW_S - left_s)

    def _take(self, client_account: str, rate_per_s: float) -> bool:
        now_s = self._clock.now_s()
        most = 1.0 + rate_per_s * _ALLOWANCE_LIFETIME_S
        known = self._allowances.get(client_account, _Allowance(most, now_s))
        earned = (now_s - known.at_s) * rate_per_s
        left = min(most, known.calls + earned)
        admitted = left >= 1.0
        self._allowances[client_account] = _Allowance(left - admitted, now_s)
        return admitted

    def _level(self, part: float) -> float:
        step = int(part / _FRACTION_STEP)
        known = self._levels.get(step)
        if known is not None and self._previous_counts:
            return known
        demands = [
            Demand(count, self._weight_of(name))
            for name, count in self._counts.items()
        ]
        total = sum(demand.amount for demand in demands)
        level = water_level(demands, total * (step + 0.5) * _FRACTION_STEP)
        self._levels[step] = level
        return level

    def _start_window(self) -> None:
        late_s = self._clock.now_s() - self._window_ends_s
        stale = late_s > _WINDOW_S
        self._previous_counts = (
            collections.Counter() if stale else self._current_counts
        )
        self._current_counts = collections.Counter()
        self._allowances = {
            name: left
            for name, left in self._allowances.items()
            if name in self._previous_counts
        }
        self._levels.clear()
        self._window_ends_s = self._clock.now_s() + _WINDOW_S


def create_fair_throttle(
    clock: timers.Clock,
    weight_of: collections.abc.Callable[[str], float],
) -> FairThrottle:
    """Returns a throttle that has counted no demand yet.

    Args:
        clock: Clock for the windows and allowances.
        weight_of: Returns the weight of a client account by its name.
    """
    return FairThrottle(clock, weight_of)
