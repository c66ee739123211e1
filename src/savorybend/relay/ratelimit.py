"""Limits the rate of requests to the backend server.

The backend server may name a limit that holds for all daemons together. All
requests to it pass through this daemon, so one token bucket suffices.
"""

import math

from savorybend.internal import timers

# Time of the rate, in seconds, and requests that may be saved up. Both are
# small, since the backend server is short of capacity.
_BURST_S = 0.25
_MIN_BURST = 2.0
# A backend server that gets no request can't say that its limit is over.
_MIN_RATE_PER_S = 0.2
_ONE_REQUEST = 1.0
# Rounding must not delay a request by another wake-up.
_TOLERANCE = 1e-9


class RateLimit:
    """A token bucket that begins without a limit."""

    def __init__(self, clock: timers.Clock):
        self._clock = clock
        self._rate_per_s = math.inf
        self._tokens = 0.0
        self._updated_s = clock.now_s()

    @property
    def limited(self) -> bool:
        """Whether there is a limit."""
        return self._rate_per_s < math.inf

    @property
    def rate_per_s(self) -> float:
        """Requests per second; infinite without a limit."""
        return self._rate_per_s

    def set_rate(self, rate_per_s: float) -> None:
        """Sets the limit; infinite ends it.

        A limit that begins has no tokens saved up: what was sent just before
        counts against it.
        """
        self._refill()
        if not self.limited:
            self._tokens = 0.0
        self._rate_per_s = max(rate_per_s, _MIN_RATE_PER_S)
        self._tokens = min(self._tokens, self._burst)

    def take(self) -> bool:
        """Takes a token for a request; returns whether there was one."""
        if not self.limited:
            return True
        self._refill()
        if self._tokens < _ONE_REQUEST - _TOLERANCE:
            return False
        self._tokens -= _ONE_REQUEST
        return True

    def wait_s(self, ahead: int) -> float:
        """Returns when a request may be sent, in seconds from now.

        Args:
            ahead: Number of requests that go before it.
        """
        if not self.limited:
            return 0.0
        self._refill()
        missing = ahead + _ONE_REQUEST - self._tokens
        if missing <= _TOLERANCE:
            return 0.0
        return missing / self._rate_per_s

    @property
    def _burst(self) -> float:
        return max(_MIN_BURST, self._rate_per_s * _BURST_S)

    def _refill(self) -> None:
        now_s = self._clock.now_s()
        elapsed_s = now_s - self._updated_s
        self._updated_s = now_s
        if self.limited:
            added = elapsed_s * self._rate_per_s
            self._tokens = min(self._burst, self._tokens + added)


def create_rate_limit(clock: timers.Clock) -> RateLimit:
    """Returns a rate limit that limits nothing yet."""
    return RateLimit(clock)
