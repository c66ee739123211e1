"""A concurrency limit derived from the latency of a backend server.

Below its capacity, more concurrency doesn't raise a backend server's latency;
above it, each further call only makes all of them wait. Every other window is
a trial with a limit a little above or below the current one, and the
latencies of both kinds of windows are compared. The limit is raised if more
concurrency costs no latency, lowered if less concurrency saves some, and
otherwise kept. Only neighbouring windows are compared, so no baseline can
become outdated: a backend server that has become slow, is cold, or misreports
its load is judged by its current latency.
"""

import math

MIN_LIMIT = 1
MAX_LIMIT = 10_000

# A trial limit differs by this fraction of the limit, and by at least one call.
_TRIAL_FRACTION = 0.2
# If latency grows faster than this power of concurrency, calls are queueing
# inside the backend server.
_QUEUEING_ELASTICITY = 0.5
_MIN_SAMPLES = 10
# Below this fraction of the limit, the limit held no calls back, so the window
# shows nothing about it.
_BINDING_FRACTION = 0.9
# A difference of this many standard errors decides a comparison. After
# `_MAX_SAMPLES` samples without a decision, neither limit is better.
_DECISION_STANDARD_ERRORS = 2.0
_MAX_SAMPLES = 500
# If the latency of a window differs by this factor from the earlier ones, the
# backend server itself has changed and its earlier samples are dropped.
_CHANGE_FACTOR = 1.5
_INITIAL_STEP = 0.05
_MAX_STEP = 0.2
_FAILURE_FRACTION = 0.5


class _Samples:
    """Sums over the calls that ended under one limit."""

    __slots__ = ("_in_use_sum", "_square_sum", "_sum_s", "count")

    def __init__(self):
        self.count = 0
        self._sum_s = 0.0
        self._square_sum = 0.0
        self._in_use_sum = 0

    @property
    def mean_s(self) -> float:
        """Mean latency, in seconds."""
        return max(1e-6, self._sum_s / self.count)

    @property
    def in_use(self) -> float:
        """Mean number of calls in progress."""
        return self._in_use_sum / self.count

    @property
    def relative_variance(self) -> float:
        """Squared standard error of the mean, over the squared mean."""
        mean_s = self.mean_s
        variance = max(0.0, self._square_sum / self.count - mean_s**2)
        return variance / mean_s**2 / self.count

    def add(self, latency_s: float, in_use: int) -> None:
        """Adds one call."""
        self.count += 1
        self._sum_s += latency_s
        self._square_sum += latency_s**2
        self._in_use_sum += in_use

    def merge(self, other: "_Samples") -> None:
        """Adds the calls of another window."""
        self.count += other.count
        self._sum_s += other._sum_s
        self._square_sum += other._square_sum
        self._in_use_sum += other._in_use_sum


class AdaptiveLimit:
    """A concurrency limit that follows the backend server's latency."""

    def __init__(self, start: int):
        self.restart(start)

    @property
    def value(self) -> int:
        """The limit in force."""
        return self._value

    def restart(self, start: int) -> None:
        """Restarts from the slots that the backend server announced."""
        self._centre = float(min(max(start, MIN_LIMIT), MAX_LIMIT))
        self._step = 0.0
        self._direction = 1
        self._reset_samples()
        self._begin_window()

    def observe(self, latency_s: float, in_use: int, failed: bool) -> None:
        """Records the end of a call.

        Args:
            latency_s: The backend server's own time, in seconds.
            in_use: Calls in progress when it ended, this one included.
            failed: Whether it wasn't answered; its latency is ignored then.
        """
        if self._calls_to_ignore > 0:
            # These calls began under the limit of the previous window.
            self._calls_to_ignore -= 1
            return
        if failed:
            self._failures += 1
        else:
            self._window.add(latency_s, in_use)
        if self._window.count + self._failures >= self._window_calls:
            self._end_window()
            self._begin_window()

    def _begin_window(self) -> None:
        self._value = math.ceil(self._centre)
        if self._is_trial:
            width = max(1, int(self._value * _TRIAL_FRACTION))
            self._value += self._direction * width
            self._value = max(MIN_LIMIT, self._value)
        self._calls_to_ignore = self._value
        self._window_calls = max(_MIN_SAMPLES, self._value)
        self._failures = 0
        self._window = _Samples()

    def _reset_samples(self) -> None:
        self._is_trial = False
        self._baseline = _Samples()
        self._trial_samples = _Samples()

    def _end_window(self) -> None:
        if self._failures >= self._window_calls * _FAILURE_FRACTION:
            self._move(-1)
            return
        if self._window.in_use < self._value * _BINDING_FRACTION:
            # The limit held no calls back, so neither this window nor a trial
            # would show anything about it.
            self._reset_samples()
            return
        self._merge_window()
        self._is_trial = not self._is_trial
        if self._baseline.count and self._trial_samples.count:
            self._decide()

    def _merge_window(self) -> None:
        samples = self._trial_samples if self._is_trial else self._baseline
        if samples.count:
            ratio = self._window.mean_s / samples.mean_s
            if not 1 / _CHANGE_FACTOR < ratio < _CHANGE_FACTOR:
                self._reset_samples()
                return
        samples.merge(self._window)

    def _decide(self) -> None:
        low, high = self._baseline, self._trial_samples
        if self._direction < 0:
            low, high = high, low
        if high.in_use <= low.in_use:
            return
        rise = math.log(high.mean_s / low.mean_s)
        expected = _QUEUEING_ELASTICITY * math.log(high.in_use / low.in_use)
        error = math.sqrt(low.relative_variance + high.relative_variance)
        if abs(rise - expected) > _DECISION_STANDARD_ERRORS * error:
            queueing = rise > expected
            if queueing == (self._direction < 0):
                self._move(self._direction)
            else:
                self._reverse_direction()
        elif low.count > _MAX_SAMPLES:
            self._reverse_direction()

    def _reverse_direction(self) -> None:
        """Switches to trials in the other direction."""
        self._direction = -self._direction
        self._step = 0.0
        self._reset_samples()

    def _move(self, direction: int) -> None:
        # Steps grow while they have the same sign, so that an announcement that
        # is wrong by a factor of ten is corrected within a few windows.
        if self._step * direction > 0:
            grown = min(_MAX_STEP, abs(self._step) * 2)
        else:
            grown = _INITIAL_STEP
        self._step = grown * direction
        moved = self._centre * (1 + self._step)
        self._centre = min(max(moved, MIN_LIMIT), MAX_LIMIT)
        self._reset_samples()


def create_adaptive_limit(start: int) -> AdaptiveLimit:
    """Returns a limit that starts at `start` concurrent calls."""
    return AdaptiveLimit(start)
