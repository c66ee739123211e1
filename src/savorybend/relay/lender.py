"""Holds the token buckets of client accounts and lends tokens to daemons.

The calls of an account may enter at many daemons, with few calls at each. If
its rate were divided among them in advance, some daemons would hold unused
tokens while others refuse calls. So one daemon, the lender, holds every
account's bucket, and the others borrow tokens as they need them. In a network
partition, the lender of each side lends only the share of the rate that
matches its side's share of all known daemons. The sides together thus stay
within the rate without communicating.
"""

import collections.abc

from savorybend.internal import timers
from savorybend.relay import calls
from savorybend.relay import frames

# A daemon without a request in this period no longer counts as connected.
_ACTIVE_WINDOW_S = 1.3
_PURGE_INTERVAL_S = 0.1
# Initial fill of a bucket after this daemon became the lender, in seconds of
# the rate: enough until the other daemons send their requests here, but not
# the whole burst, which the previous lender may have lent just before.
_INITIAL_BURST_S = 0.4
_MIN_INITIAL_SHARE = 0.25
# Fraction of a bucket that may be lent for expected calls (prefetch).
_PREFETCH_FRACTION = 0.25
# Longest time after which a daemon reports which tokens it has spent.
_MAX_REPORT_AGE_S = 0.5
_MIN_RETRY_S = 0.05
_MAX_RETRY_S = 0.3

Accounts = collections.abc.Mapping[str, calls.ClientAccount]


class _Bucket:
    """The token bucket of one account.

    Tokens that were lent for expected calls count toward its capacity until
    they are reported as spent: daemons could otherwise spend those that they
    hold in addition to a whole burst.
    """

    __slots__ = ("available", "_refilled_s", "_lent", "_overflow")

    def __init__(self, available: float, refilled_s: float):
        self.available = available
        self._refilled_s = refilled_s
        # Lent tokens that aren't known to be spent.
        self._lent = 0
        # Tokens that recently found no room beside those.
        self._overflow = 0.0

    def refill(self, rate_per_s: float, capacity: float, now_s: float) -> None:
        """Adds the tokens of the time since the last refill."""
        if now_s == self._refilled_s:
            return
        gained = (now_s - self._refilled_s) * rate_per_s
        self._refilled_s = now_s
        self.available = min(self.available, capacity)
        overflow = self._overflow + gained - self._add(gained, capacity)
        self._overflow = min(overflow, rate_per_s * _MAX_REPORT_AGE_S)

    def take(self, count: int, limit: float) -> int:
        """Takes up to `count` tokens; returns how many."""
        taken = max(0, min(count, int(limit)))
        self.available -= taken
        return taken

    def note_lent(self, tokens: int) -> None:
        """Records tokens that were taken for expected calls."""
        self._lent += tokens

    def note_spent(self, tokens: int) -> None:
        """Counts lent tokens as spent."""
        self._lent = max(0, self._lent - tokens)

    def settle(
        self, lent: int, held: int, returned: int, capacity: float
    ) -> None:
        """Applies what became of the tokens that a daemon was lent.

        Args:
            lent: Tokens that it was lent.
            held: Tokens that it still has.
            returned: Tokens that it gives back.
            capacity: The bucket's capacity, in tokens.
        """
        self.note_spent(lent - held)
        self._add(returned, capacity)
        # They were spent before the report, when those found no room.
        spent = lent - held - returned
        if spent > 0 and self._overflow > 0:
            self._overflow -= self._add(min(spent, self._overflow), capacity)

    def _add(self, tokens: float, capacity: float) -> float:
        """Adds tokens as far as there is room; returns how many."""
        room = capacity - self.available - self._lent
        if room <= 0:
            return 0.0
        added = min(tokens, room)
        self.available += added
        return added


class Lender:
    """The token buckets of all accounts."""

    def __init__(self, clock: timers.Clock):
        self._clock = clock
        self._last_heard_s: dict[str, float] = {}
        self._buckets: dict[str, _Bucket] = {}
        # Tokens that each daemon was lent for expected calls, by account.
        self._lent: dict[str, dict[str, int]] = {}
        self._started_s = clock.now_s()
        self._last_request_s = self._started_s
        self._purged_s = self._started_s

    @property
    def reporting(self) -> set[str]:
        """Names of the daemons that sent a request recently."""
        oldest_s = self._clock.now_s() - _ACTIVE_WINDOW_S
        return {
            name
            for name, at_s in self._last_heard_s.items()
            if at_s >= oldest_s
        }

    def lend(
        self,
        daemon: str,
        request: frames.LoanRequest,
        accounts: Accounts,
        size: int,
    ) -> frames.Loan:
        """Lends a daemon the tokens that it requests, as far as available.

        Args:
            daemon: Name of the borrower.
            request: The requested tokens by account. One for no waiting calls
                is a report: of the tokens that the daemon holds, and that it is
                connected.
            accounts: The configured client accounts by name.
            size: Number of known daemons, connected or not.
        """
        now_s = self._clock.now_s()
        self._record_request(daemon, now_s)
        share = min(1.0, len(self._last_heard_s) / max(1, size))
        if not request.wanted:
            self._settle(daemon, request, accounts, share)
        loan = frames.Loan({}, {})
        for name, wanted in request.wanted.items():
            account = accounts.get(name)
            if account is None:
                continue
            bucket = self._refill(account, share, now_s)
            lent = bucket.take(wanted, bucket.available)
            if lent:
                loan.tokens[name] = lent
            if lent < wanted:
                loan.retry_after_s[name] = self._retry_s(account, share)
        for name, expected in request.expected.items():
            account = accounts.get(name)
            if account is None or name in loan.retry_after_s:
                continue
            bucket = self._refill(account, share, now_s)
            lent = bucket.take(expected, bucket.available * _PREFETCH_FRACTION)
            if lent:
                self._note_lent(daemon, name, lent)
                loan.tokens[name] = loan.tokens.get(name, 0) + lent
        return loan

    def _settle(
        self,
        daemon: str,
        report: frames.LoanRequest,
        accounts: Accounts,
        share: float,
    ) -> None:
        """Applies what a daemon reports of the tokens that it was lent."""
        now_s = self._clock.now_s()
        lent = self._lent.get(daemon, {})
        self._lent[daemon] = dict(report.held)
        for name in {*lent, *report.held, *report.returned}:
            account = accounts.get(name)
            if account is None:
                continue
            self._refill(account, share, now_s).settle(
                lent.get(name, 0),
                max(0, report.held.get(name, 0)),
                max(0, report.returned.get(name, 0)),
                _capacity(account, share),
            )

    def _note_lent(self, daemon: str, name: str, tokens: int) -> None:
        self._buckets[name].note_lent(tokens)
        lent = self._lent.setdefault(daemon, {})
        lent[name] = lent.get(name, 0) + tokens

    def _forget(self, daemon: str) -> None:
        """Counts all tokens that a daemon was lent as spent."""
        for name, tokens in self._lent.pop(daemon, {}).items():
            bucket = self._buckets.get(name)
            if bucket is not None:
                bucket.note_spent(tokens)

    def _record_request(self, daemon: str, now_s: float) -> None:
        if now_s - self._last_request_s > _ACTIVE_WINDOW_S:
            # Another daemon was the lender in the meantime, so the buckets
            # are out of date.
            self._buckets.clear()
            self._lent.clear()
            self._started_s = now_s
        self._last_request_s = now_s
        self._last_heard_s[daemon] = now_s
        if now_s - self._purged_s < _PURGE_INTERVAL_S:
            return
        self._purged_s = now_s
        oldest_s = now_s - _ACTIVE_WINDOW_S
        for name, at_s in list(self._last_heard_s.items()):
            if at_s < oldest_s:
                del self._last_heard_s[name]
                self._forget(name)

    def _refill(
        self, account: calls.ClientAccount, share: float, now_s: float
    ) -> _Bucket:
        rate_per_s = account.rate_per_s * share
        bucket = self._buckets.get(account.name)
        if bucket is None:
            initial_share = max(share, _MIN_INITIAL_SHARE)
            available = max(
                1.0, account.rate_per_s * initial_share * _INITIAL_BURST_S
            )
            bucket = _Bucket(available, self._started_s)
            self._buckets[account.name] = bucket
        bucket.refill(rate_per_s, _capacity(account, share), now_s)
        return bucket

    def _retry_s(self, account: calls.ClientAccount, share: float) -> float:
        """Returns after how many seconds the borrower should ask again.

        All connected daemons share the refill, so this is half of the time in
        which the bucket gains one token for each of them.
        """
        rate_per_s = max(account.rate_per_s * share, 1e-9)
        interval_s = len(self._last_heard_s) / rate_per_s
        return min(_MAX_RETRY_S, max(_MIN_RETRY_S, interval_s / 2))


def _capacity(account: calls.ClientAccount, share: float) -> float:
    """Returns the bucket's capacity in tokens.

    It is at least 1, so that an account with a tiny burst still gets tokens.
    """
    return max(1.0, account.burst * share)


def create_lender(clock: timers.Clock) -> Lender:
    """Returns a lender without borrowers."""
    return Lender(clock)
