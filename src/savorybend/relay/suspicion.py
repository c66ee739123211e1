"""The crashes blamed on one request content, as a value that daemons merge.

Each crash has an ID of its own, so merging is commutative and idempotent: a
report may arrive late, twice or in any order.
"""

import secrets

from savorybend.relay import frames

_ID_BYTES = 8
# A content that many callers send may be in flight at any number of crashes.
_MAX_CRASHES = 32
_MAX_PAST_CRASHES = 256


class Suspicion:
    """What is known of one content.

    Attributes:
        last_ms: Time of the last crash, Unix time in milliseconds.
    """

    __slots__ = ("_crashes", "_voided", "last_ms")

    def __init__(self):
        self._crashes: set[str] = set()
        self._voided: set[str] = set()
        self.last_ms = 0

    @property
    def open(self) -> frozenset[str]:
        """IDs of the crashes that no answer has voided."""
        return frozenset(self._crashes - self._voided)

    @property
    def crashes(self) -> int:
        """Number of crashes, voided ones included."""
        return len(self._crashes)

    def add_crash(self, crash: str, now_ms: int) -> bool:
        """Adds a crash; returns whether it is new."""
        if crash in self._crashes:
            return False
        self._crashes.add(crash)
        self._touch(now_ms)
        self._limit_size()
        return True

    def acquit(self) -> bool:
        """Voids all crashes; returns whether there were any."""
        changed = bool(self.open)
        self._voided.update(self._crashes)
        return changed

    def merge(self, report: frames.Suspicion, now_ms: int) -> bool:
        """Adds what another daemon knows; returns whether it was news."""
        before = self._size()
        self._crashes.update(report.deaths)
        self._voided.update(report.voided)
        # A daemon whose clock is ahead must not lengthen the quarantine.
        self._touch(min(report.last_ms, now_ms))
        self._limit_size()
        return before != self._size()

    def report(self, digest: bytes) -> frames.Suspicion:
        """Returns the message that tells other daemons of it."""
        return frames.Suspicion(
            digest,
            len(self.open),
            sorted(self._crashes),
            sorted(self._voided),
            self.last_ms,
        )

    def _size(self) -> tuple[int, int]:
        return (len(self._crashes), len(self._voided))

    def _touch(self, now_ms: int) -> None:
        self.last_ms = max(self.last_ms, now_ms)

    def _limit_size(self) -> None:
        excess = len(self._crashes) - _MAX_CRASHES
        if excess > 0:
            voided = [one for one in self._crashes if one in self._voided]
            rest = [one for one in self._crashes if one not in self._voided]
            for crash in [*voided, *rest][:excess]:
                self._crashes.discard(crash)
        # The IDs stay voided for a while, since others may still report them.
        past = self._voided - self._crashes
        if len(past) > _MAX_PAST_CRASHES:
            self._voided -= past


def create_id() -> str:
    """Returns an ID for a crash."""
    return secrets.token_hex(_ID_BYTES)
