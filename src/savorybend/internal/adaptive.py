"""How many calls a backend server may work on at once, from its latency.

Below its capacity a backend server takes no longer for more calls at once;
above it, each further call only makes all of them wait. The limit is found by
trying a little more or less than the present one in every other window, and
comparing the two latencies: more is taken over where it costs no latency,
less where it saves some, and otherwise the limit stays. Since only
neighbouring windows are compared, no baseline can grow old: a backend server
that has become slow, is cold, or misreports its load is judged by what it
does now.
"""

import math

SMALLEST_LIMIT = 1
LARGEST_LIMIT = 10_000

# A trial goes so far above or below the limit, and at least one call.
_TRIAL_PART = 0.2
# Where latency follows concurrency more closely than this power of it, calls
# queue inside the backend server.
_QUEUEING_ELASTICITY = 0.5
_FEWEST_SAMPLES = 10
# Below this part of the limit, calls were not held back by it, and the window
# says nothing about it.
_BINDING_PART = 0.9
# A decision is made once the evidence is this many standard errors strong;
# with so many samples and still no decision, either way is as good.
_SURE = 2.0
_MOST_SAMPLES = 500
# A window whose latency differs so much from those before it was taken of
# another backend server, so to speak: what was gathered is dropped.
_CHANGED_FACTOR = 1.5
_STEP = 0.05
_LARGEST_STEP = 0.2
_FAILING_PART = 0.5


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
        """Mean number of calls in work."""
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
        """Starts anew from a size that the backend server announced."""
        self._centre = float(min(max(start, SMALLEST_LIMIT), LARGEST_LIMIT))
        self._step = 0.0
        self._direction = 1
        self._drop_evidence()
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
            self._window.add(latency_s, in_use)
        if self._window.count + self._failures >= self._wanted:
            self._end_window()
            self._begin()

    def _begin(self) -> None:
        self._value = math.ceil(self._centre)
        if self._trial:
            width = max(1, int(self._value * _TRIAL_PART))
            self._value += self._direction * width
            self._value = max(SMALLEST_LIMIT, self._value)
        self._settling = self._value
        self._wanted = max(_FEWEST_SAMPLES, self._value)
        self._failures = 0
        self._window = _Samples()

    def _drop_evidence(self) -> None:
        self._trial = False
        self._plain = _Samples()
        self._tried = _Samples()

    def _end_window(self) -> None:
        if self._failures >= self._wanted * _FAILING_PART:
            self._move(-1)
            return
        if self._window.in_use < self._value * _BINDING_PART:
            # Nothing was held back, so there is nothing to learn, and a
            # trial now would be no trial.
            self._drop_evidence()
            return
        self._gather()
        self._trial = not self._trial
        if self._plain.count and self._tried.count:
            self._decide()

    def _gather(self) -> None:
        samples = self._tried if self._trial else self._plain
        if samples.count:
            ratio = self._window.mean_s / samples.mean_s
            if not 1 / _CHANGED_FACTOR < ratio < _CHANGED_FACTOR:
                self._drop_evidence()
                return
        samples.merge(self._window)

    def _decide(self) -> None:
        low, high = self._plain, self._tried
        if self._direction < 0:
            low, high = high, low
        if high.in_use <= low.in_use:
            return
        rise = math.log(high.mean_s / low.mean_s)
        expected = _QUEUEING_ELASTICITY * math.log(high.in_use / low.in_use)
        error = math.sqrt(low.relative_variance + high.relative_variance)
        if abs(rise - expected) > _SURE * error:
            queueing = rise > expected
            if queueing == (self._direction < 0):
                self._move(self._direction)
            else:
                self._turn()
        elif low.count > _MOST_SAMPLES:
            self._turn()

    def _turn(self) -> None:
        """Tries the other direction, since this one is no better."""
        self._direction = -self._direction
        self._step = 0.0
        self._drop_evidence()

    def _move(self, direction: int) -> None:
        # Steps grow while they agree, so that an announcement that is wrong
        # by a factor of ten is mended in a few windows.
        if self._step * direction > 0:
            grown = min(_LARGEST_STEP, abs(self._step) * 2)
        else:
            grown = _STEP
        self._step = grown * direction
        moved = self._centre * (1 + self._step)
        self._centre = min(max(moved, SMALLEST_LIMIT), LARGEST_LIMIT)
        self._drop_evidence()


def create_adaptive_limit(start: int) -> AdaptiveLimit:
    """Returns a limit that starts at `start` calls at once."""
    return AdaptiveLimit(start)
