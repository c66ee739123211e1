"""Caps the retries of a daemon at a part of its calls.

The budget of each request bounds what one request adds. When most requests
fail, that is still several times the load of a service that needs less.
"""

# One retry for ten calls, and a few more so that a quiet daemon may retry.
_RETRIES_PER_CALL = 0.1
_RESERVE = 10.0


class RetryRatio:
    """Counts calls and retries."""

    def __init__(self):
        self._left = _RESERVE

    def note_call(self) -> None:
        """Notes a call's first try, which earns a part of a retry."""
        self._left = min(_RESERVE, self._left + _RETRIES_PER_CALL)

    def take(self) -> bool:
        """Spends a retry; returns whether there was one."""
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True


def create_retry_ratio() -> RetryRatio:
    """Returns a ratio with its reserve full."""
    return RetryRatio()
