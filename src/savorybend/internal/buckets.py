"""Token buckets."""


class TokenBucket:
    """Grants tokens at a rate, up to a depth at once."""

    __slots__ = ("_depth", "_rate_per_s", "_time_s", "_tokens")

    def __init__(self, rate_per_s: float, depth: float, now_s: float):
        self._rate_per_s = rate_per_s
        self._depth = depth
        self._time_s = now_s
        self._tokens = depth

    @property
    def rate_per_s(self) -> float:
        """Tokens added a second."""
        return self._rate_per_s

    def take(self, now_s: float, tokens: float = 1.0) -> bool:
        """Takes tokens if there are enough."""
        self._fill(now_s)
        if self._tokens < tokens:
            return False
        self._tokens -= tokens
        return True

    def wait_s(self, now_s: float, tokens: float = 1.0) -> float:
        """Returns the seconds until there are enough tokens."""
        self._fill(now_s)
        missing = tokens - self._tokens
        if missing <= 0:
            return 0.0
        return missing / self._rate_per_s

    def _fill(self, now_s: float) -> None:
        passed_s = now_s - self._time_s
        # A clock that went back must not be paid for twice.
        if passed_s <= 0:
            return
        self._time_s = now_s
        self._tokens = min(
            self._depth, self._tokens + passed_s * self._rate_per_s
        )
