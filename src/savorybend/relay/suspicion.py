"""The crashes blamed on one request content, as a value that daemons merge.

Each crash and each trial has an ID of its own, so merging is commutative and
idempotent: a report may arrive late, twice or in any order.
"""

import collections
import secrets

from savorybend.relay import frames

_ID_BYTES = 8
# A content that many callers send may be in flight at any number of crashes.
_MAX_CRASHES = 32
_MAX_PAST_CRASHES = 256


class Suspicion:
    """What is known of one content.

    Attributes:
        last_ms: Time of the last crash or trial, Unix time in milliseconds.
    """

    __slots__ = ("_crashes", "_trials", "_voided", "_by_scope", "last_ms")

    def __init__(self):
        # Scope by ID. A scope is a client account at a service.
        self._crashes: dict[str, str] = {}
        self._trials: set[str] = set()
        self._voided: set[str] = set()
        self._by_scope = False
        self.last_ms = 0

    @property
    def open(self) -> frozenset[str]:
        """IDs of the crashes that no answer has voided."""
        return frozenset(self._crashes.keys() - self._voided)

    @property
    def crashes(self) -> int:
        """Number of crashes, voided ones included."""
        return len(self._crashes)

    @property
    def trials(self) -> int:
        """Number of trials so far."""
        return len(self._trials)

    def count(self, scope: str) -> int:
        """Returns the number of open crashes that count for a scope.

        All count, unless another scope got an answer to the same content.
        """
        if not self._by_scope:
            return len(self.open)
        return sum(1 for one in self.open if self._crashes[one] == scope)

    @property
    def highest_count(self) -> int:
        """The largest `count` of any scope."""
        if not self._by_scope:
            return len(self.open)
        scopes = [self._crashes[one] for one in self.open]
        return max((scopes.count(one) for one in set(scopes)), default=0)

    def add_crash(self, crash: str, scope: str, now_ms: int) -> bool:
        """Adds a crash; returns whether it is new."""
        if crash in self._crashes:
            return False
        self._crashes[crash] = scope
        self._touch(now_ms)
        self._limit_size()
        return True

    def add_trial(self, now_ms: int) -> None:
        """Adds a trial that is about to begin."""
        self._trials.add(create_id())
        self._touch(now_ms)

    def acquit(
        self, known: frozenset[str], scope: str, spared: int = 0
    ) -> bool:
        """Voids crashes of a scope, since a later run was answered.

        Args:
            known: IDs of the crashes that were open when the run began.
            scope: The run's scope.
            spared: Scopes with fewer known crashes are acquitted as well.

        Returns:
            Whether anything changed.
        """
        before = self._size()
        scopes = {
            one: self._crashes[one] for one in known if one in self._crashes
        }
        counts = collections.Counter(scopes.values())
        self._voided.update(
            one
            for one, other in scopes.items()
            if other == scope or counts[other] < spared
        )
        if known & self.open:
            self._by_scope = True
        return before != self._size()

    def merge(self, report: frames.Suspicion, now_ms: int) -> bool:
        """Adds what another daemon knows; returns whether it was news."""
        before = self._size()
        self._crashes = {**report.deaths, **self._crashes}
        self._trials.update(report.trials)
        self._voided.update(report.voided)
        self._by_scope |= report.by_scope
        # A daemon whose clock is ahead must not put off the next trial.
        self._touch(min(report.last_ms, now_ms))
        self._limit_size()
        return before != self._size()

    def report(self, digest: bytes) -> frames.Suspicion:
        """Returns the message that tells other daemons of it."""
        return frames.Suspicion(
            digest,
            len(self.open),
            dict(self._crashes),
            sorted(self._trials),
            sorted(self._voided),
            self._by_scope,
            self.last_ms,
        )

    def _size(self) -> tuple[int, int, int, bool]:
        return (
            len(self._crashes),
            len(self._trials),
            len(self._voided),
            self._by_scope,
        )

    def _touch(self, now_ms: int) -> None:
        self.last_ms = max(self.last_ms, now_ms)

    def _limit_size(self) -> None:
        excess = len(self._crashes) - _MAX_CRASHES
        if excess > 0:
            voided = [one for one in self._crashes if one in self._voided]
            rest = [one for one in self._crashes if one not in self._voided]
            for crash in [*voided, *rest][:excess]:
                del self._crashes[crash]
        # The IDs stay voided for a while, since others may still report them.
        past = self._voided - self._crashes.keys()
        if len(past) > _MAX_PAST_CRASHES:
            self._voided -= past


def create_id() -> str:
    """Returns an ID for a crash or a trial."""
    return secrets.token_hex(_ID_BYTES)
