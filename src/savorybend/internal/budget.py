"""What a daemon may ask of the platform, and how it comes back after faults."""

import random

from savorybend.internal import timers

# A daemon in its ordinary work makes about one call a second; a thousand that
# all come back from an outage stay within the platform's rates by backing off.
_RATE_PER_S = 4.0
_BURST = 12.0
_FIRST_BACKOFF_S = 0.25
_LONGEST_BACKOFF_S = 20.0


class Budget:
    """A token bucket that lends ahead: a call waits for its token."""

    def __init__(self, clock: timers.Clock):
        self._clock = clock
        self._tokens = _BURST
        self._filled_s = clock.now_s()

    def take(self) -> float:
        """Takes a token; returns how long the call has to wait, in seconds."""
        now_s = self._clock.now_s()
        gained = (now_s - self._filled_s) * _RATE_PER_S
        self._tokens = min(_BURST, self._tokens + gained) - 1.0
        self._filled_s = now_s
        return max(0.0, -self._tokens / _RATE_PER_S)


class Backoff:
    """Exponential backoff with full jitter."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._next_s = _FIRST_BACKOFF_S

    def reset(self) -> None:
        """Notes a success."""
        self._next_s = _FIRST_BACKOFF_S

    def fail(self) -> float:
        """Notes a failure; returns how long to wait, in seconds."""
        wait_s = self._rng.uniform(0.5, 1.0) * self._next_s
        self._next_s = min(2 * self._next_s, _LONGEST_BACKOFF_S)
        return wait_s


def create_budget(clock: timers.Clock) -> Budget:
    """Returns a full budget."""
    return Budget(clock)


def create_backoff(rng: random.Random) -> Backoff:
    """Returns a backoff before the first failure."""
    return Backoff(rng)
