"""Limits the retries of a daemon to a fraction of its calls.

The retry budget of a request bounds the load that one request adds. When most
requests fail, their retries together would still multiply the load of a service
that is overloaded.
"""

# One retry for ten calls.
_RETRIES_PER_CALL = 0.1
# Saved retries, so that a daemon with few calls may retry too.
_MAX_SAVED_RETRIES = 10.0


class RetryRatio:
    """A token bucket of retries that calls fill."""

    def __init__(self):
        self._saved_retries = _MAX_SAVED_RETRIES

    def note_call(self) -> None:
        """Adds a call's fraction of a retry to the bucket."""
        self._saved_retries = min(
            _MAX_SAVED_RETRIES, self._saved_retries + _RETRIES_PER_CALL
        )

    def take(self) -> bool:
        """Takes a retry from the bucket; returns whether there was one."""
        if self._saved_retries < 1.0:
            return False
        self._saved_retries -= 1.0
        return True


def create_retry_ratio() -> RetryRatio:
    """Returns a retry ratio with a full bucket."""
    return RetryRatio()
