"""How many calls a backend server may work on at once, from its latency.

Below its capacity a backend server takes no longer for more calls at once;
above it, each further call only makes all of them wait. The limit is found by
trying a little more than the present one in every other window, and comparing
the two latencies. Since only neighbouring windows are compared, no baseline
can grow old: a backend server that has become slow, is cold, or misreports
its load is judged by what it does now.
"""

import dataclasses
import math

SMALLEST_LIMIT = 1
LARGEST_LIMIT = 10_000

# A trial goes so far above the limit, and at least one call.
_TRIAL_FACTOR = 1.1
# Where latency follows concurrency more closely than this power of it, calls
# queue inside the backend server.
_QUEUEING_ELASTICITY = 0.5
_FEWEST_SAMPLES = 20
# Below this part of the limit, calls were not held back by it, and the window
# says nothing about it.
_BINDING_PART = 0.9
_STEP = 0.05
_LARGEST_STEP = 0.2
_FAILING_PART = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Measured:
    """What one window showed.

    Attributes:
        in_use: Mean number of calls in work.
        latency_s: Mean latency, in seconds.
        trial: Whether the limit was raised for trial.
    """

    in_use: float
    latency_s: float
    trial: bool


class AdaptiveLimit:
    """A concurrency limit that follows the backend server's latency."""

    def __init__(self, start: int):
        self._centre = float(start)
        self._step = 0.0
        self._trial = False
        self._previous: Measured | None = None
        self._begin()

    @property
    def value(self) -> int:
        """The limit in force."""
        base = math.ceil(self._centre)
        if not self._trial:
            return base
        return max(base + 1, math.ceil(base * _TRIAL_FACTOR))

    def restart(self, start: int) -> None:
        """Starts anew from a size that the backend server announced."""
        self._centre = float(min(max(start, SMALLEST_LIMIT), LARGEST_LIMIT))
        self._step = 0.0
        self._trial = False
        self._previous = None
        self._begin()

    def observe(self, latency_s: float, in_use: int, failed: bool) -> None:
        """Takes the end of a call into account.

        Args:
            latency_s: The backend server's own time, in seconds.
            in_use: Calls in work when it ended, this one included.
            failed: Whether it wasn't answered, so that its latency says
                nothing.
        """
        if self._settling > 0:
            # These began under the limit of the window before.
            self._settling -= 1
            return
        if failed:
            self._failures += 1
        else:
            self._samples += 1
            self._latency_sum_s += latency_s
            self._in_use_sum += in_use
        if self._samples + self._failures >= self._wanted:
            self._end_window()

    def _begin(self) -> None:
        self._settling = self.value
        self._wanted = max(_FEWEST_SAMPLES, self.value)
        self._samples = 0
        self._failures = 0
        self._latency_sum_s = 0.0
        self._in_use_sum = 0

    def _end_window(self) -> None:
        total = self._samples + self._failures
        if self._failures >= total * _FAILING_PART:
            self._move(-1.0)
            self._previous = None
        else:
            self._judge(
                Measured(
                    self._in_use_sum / self._samples,
                    max(1e-6, self._latency_sum_s / self._samples),
                    self._trial,
                )
            )
        self._begin()

    def _judge(self, found: Measured) -> None:
        if found.in_use < self.value * _BINDING_PART:
            # Nothing was held back, so there is nothing to learn, and a
            # trial now would be no trial.
            self._previous = None
            self._trial = False
            return
        previous = self._previous
        self._previous = found
        self._trial = not self._trial
        if previous is None or previous.trial == found.trial:
            return
        low, high = sorted((previous, found), key=lambda one: one.trial)
        if high.in_use <= low.in_use:
            return
        elasticity = math.log(high.latency_s / low.latency_s) / math.log(
            high.in_use / low.in_use
        )
        self._move(-1.0 if elasticity > _QUEUEING_ELASTICITY else 1.0)

    def _move(self, direction: float) -> None:
        # Steps grow while they agree, so that an announcement that is wrong
        # by a factor of ten is mended in a few windows.
        if self._step * direction > 0:
            grown = min(_LARGEST_STEP, abs(self._step) * 2)
        else:
            grown = _STEP
        self._step = grown * direction
        moved = self._centre * (1 + self._step)
        self._centre = min(max(moved, SMALLEST_LIMIT), LARGEST_LIMIT)


def create_adaptive_limit(start: int) -> AdaptiveLimit:
    """Returns a limit that starts at `start` calls at once."""
    return AdaptiveLimit(start)
