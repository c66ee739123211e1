"""Lends client accounts' tokens to the daemons that ask for them.

Answers accounts whose calls enter at many daemons, few at each: a rate that is
divided among them beforehand leaves tokens where no call comes, and refuses
calls where one does. So one daemon keeps each account's bucket, and the others
fetch from it what they have calls for. A group of daemons that is cut off from
the rest lends no more than its own part of all that are known, so the groups
stay within the rate together without a word between them.
"""

import collections.abc

from savorybend.internal import timers
from savorybend.relay import calls
from savorybend.relay import frames

# A daemon that hasn't asked for so long belongs to the group no more.
HEARD_S = 1.3
_PURGE_EVERY_S = 0.1
# What a lender that has just taken over may lend at once, in seconds of the
# rate, until the others have turned to it. It isn't more, since the one before
# may have lent the burst a moment ago.
_FIRST_SAVED_S = 0.4
_LEAST_FIRST_GROUP = 0.25
# Of what is saved up, so much may be lent before there are calls for it.
_AHEAD_PART = 0.25
_SHORTEST_DRY_S = 0.05
_LONGEST_DRY_S = 0.3

Accounts = collections.abc.Mapping[str, calls.ClientAccount]


class _Bucket:
    """What a group may still let through of an account."""

    __slots__ = ("saved", "filled_s")

    def __init__(self, saved: float, filled_s: float):
        self.saved = saved
        self.filled_s = filled_s


class Lender:
    """The buckets of all accounts, for the daemons that ask this one."""

    def __init__(self, clock: timers.Clock):
        self._clock = clock
        self._heard: dict[str, float] = {}
        self._buckets: dict[str, _Bucket] = {}
        self._began_s = clock.now_s()
        self._latest_s = self._began_s
        self._purged_s = self._began_s

    @property
    def reporting(self) -> set[str]:
        """Daemons that asked lately."""
        oldest_s = self._clock.now_s() - HEARD_S
        return {name for name, at_s in self._heard.items() if at_s >= oldest_s}

    def lend(
        self,
        daemon: str,
        need: frames.LoanRequest,
        accounts: Accounts,
        size: int,
    ) -> frames.Loan:
        """Lends a daemon what it needs, as far as there is any.

        Args:
            daemon: Who asks.
            need: What it asks for; it may be nothing.
            accounts: The client accounts that are in force.
            size: How many daemons are known, reached or not.
        """
        now_s = self._clock.now_s()
        self._note(daemon, now_s)
        group = min(1.0, len(self._heard) / max(1, size))
        loan = frames.Loan({}, {})
        for name, wanted in need.wanted.items():
            account = accounts.get(name)
            if account is None:
                continue
            bucket = self._fill(account, group, now_s)
            lent = _draw(bucket, wanted, bucket.saved)
            if lent:
                loan.tokens[name] = lent
            if lent < wanted:
                loan.retry_after_s[name] = self._dry_s(account, group)
        for name, ahead in need.expected.items():
            account = accounts.get(name)
            if account is None or name in loan.retry_after_s:
                continue
            bucket = self._fill(account, group, now_s)
            lent = _draw(bucket, ahead, bucket.saved * _AHEAD_PART)
            if lent:
                loan.tokens[name] = loan.tokens.get(name, 0) + lent
        return loan

    def _note(self, daemon: str, now_s: float) -> None:
        if now_s - self._latest_s > HEARD_S:
            # Another one was the lender meanwhile.
            self._buckets.clear()
            self._began_s = now_s
        self._latest_s = now_s
        self._heard[daemon] = now_s
        if now_s - self._purged_s < _PURGE_EVERY_S:
            return
        self._purged_s = now_s
        oldest_s = now_s - HEARD_S
        for name, at_s in list(self._heard.items()):
            if at_s < oldest_s:
                del self._heard[name]

    def _fill(
        self, account: calls.ClientAccount, group: float, now_s: float
    ) -> _Bucket:
        rate_per_s = account.rate_per_s * group
        bucket = self._buckets.get(account.name)
        if bucket is None:
            first_group = max(group, _LEAST_FIRST_GROUP)
            saved = max(1.0, account.rate_per_s * first_group * _FIRST_SAVED_S)
            bucket = _Bucket(saved, self._began_s)
            self._buckets[account.name] = bucket
        gained = (now_s - bucket.filled_s) * rate_per_s
        bucket.saved = min(_most(account, group), bucket.saved + gained)
        bucket.filled_s = now_s
        return bucket

    def _dry_s(self, account: calls.ClientAccount, group: float) -> float:
        """Returns when there may be a token for the one that asks.

        The others ask as well, so it is half of the time in which each could
        have one.
        """
        rate_per_s = max(account.rate_per_s * group, 1e-9)
        turn_s = len(self._heard) / rate_per_s
        return min(_LONGEST_DRY_S, max(_SHORTEST_DRY_S, turn_s / 2))


def _most(account: calls.ClientAccount, group: float) -> float:
    """Returns the most tokens of an account that a group saves up.

    An account of little more than no burst still gets whole tokens.
    """
    return max(1.0, account.burst * group)


def _draw(bucket: _Bucket, number: int, most: float) -> int:
    drawn = max(0, min(number, int(most)))
    bucket.saved -= drawn
    return drawn


def create_lender(clock: timers.Clock) -> Lender:
    """Returns a lender that was asked by nobody yet."""
    return Lender(clock)
