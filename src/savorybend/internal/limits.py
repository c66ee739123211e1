"""Each client account's rate and burst, held over the whole fleet.

Every daemon holds an equal part of each account's rate and burst. The parts
never add up to more than the whole while the fleet only shrinks; `lending`
takes its place.
"""

import typing

from savorybend.internal import buckets
from savorybend.internal import members
from savorybend.internal import outcomes
from savorybend.internal import snapshot
from savorybend.internal import timers


class State(typing.NamedTuple):
    """How an account stands at this daemon, for operators.

    Attributes:
        client_account: Name.
        rate_per_s: What this daemon may admit a second.
        admitted: Calls admitted since start.
        refused: Calls refused since start.
    """

    client_account: str
    rate_per_s: float
    admitted: int
    refused: int


class Limiter(typing.Protocol):
    """Decides whether a client account is inside its rate."""

    async def take(
        self, account: snapshot.Account, deadline_s: float
    ) -> outcomes.Verdict:
        """Spends a token, waiting for one no longer than `deadline_s`."""

    def states(self) -> list[State]:
        """Returns how each account stands here."""


class StaticLimiter:
    """Gives each daemon an equal part."""

    def __init__(self, clock: timers.Clock, directory: members.Directory):
        self._clock = clock
        self._directory = directory
        self._buckets: dict[str, buckets.TokenBucket] = {}
        self._parts: dict[str, tuple[snapshot.Account, int]] = {}
        self._counts: dict[str, list[int]] = {}

    async def take(
        self, account: snapshot.Account, deadline_s: float
    ) -> outcomes.Verdict:
        """Spends a token of this daemon's part."""
        now_s = self._clock.now_s()
        bucket = self._bucket(account, now_s)
        counts = self._counts.setdefault(account.name, [0, 0])
        if bucket.take(now_s):
            counts[0] += 1
            return outcomes.ADMIT
        counts[1] += 1
        return outcomes.Refuse(outcomes.LIMITED, bucket.wait_s(now_s))

    def states(self) -> list[State]:
        """Returns how each account stands here."""
        return [
            State(name, self._buckets[name].rate_per_s, admitted, refused)
            for name, (admitted, refused) in self._counts.items()
        ]

    def _bucket(
        self, account: snapshot.Account, now_s: float
    ) -> buckets.TokenBucket:
        part = (account, len(self._directory.all()))
        if self._parts.get(account.name) != part:
            self._parts[account.name] = part
            self._buckets[account.name] = buckets.TokenBucket(
                account.rate_per_s / part[1],
                max(1.0, account.burst / part[1]),
                now_s,
            )
        return self._buckets[account.name]


def create_limiter(
    clock: timers.Clock, directory: members.Directory
) -> Limiter:
    """Returns the limiter of a daemon."""
    return StaticLimiter(clock, directory)
