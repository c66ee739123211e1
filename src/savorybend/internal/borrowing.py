"""Tracks borrowed tokens; each is spent at most once, before it expires."""

import collections
import collections.abc
import secrets
import typing

from savorybend.internal import terms
from savorybend.internal.wire import limits as messages

# Time constant of the demand estimate, in seconds.
_DEMAND_DECAY_S = 0.5
# Tokens are requested for this many seconds of expected demand. A few requests
# per second are then enough for steady traffic not to wait.
PREFETCH_S = 0.25
# If the allocator has spare tokens, they are requested for the demand of this
# fraction of their validity, which saves messages at both ends.
_SPARE_FRACTION = 0.75


class Demand:
    """Decaying estimate of the demand per second."""

    __slots__ = ("_amount", "_time_s")

    def __init__(self, now_s: float):
        self._amount = 0.0
        self._time_s = now_s

    def add(self, amount: float, now_s: float) -> None:
        """Adds an amount to the demand."""
        self._decay(now_s)
        self._amount += amount

    def per_s(self, now_s: float) -> float:
        """Returns the recent demand per second."""
        self._decay(now_s)
        return self._amount / _DEMAND_DECAY_S

    def _decay(self, now_s: float) -> None:
        passed_s = now_s - self._time_s
        if passed_s <= 0:
            return
        self._time_s = now_s
        self._amount *= max(0.0, 1.0 - passed_s / _DEMAND_DECAY_S)


class _TokenBatch:
    __slots__ = ("tokens", "until_s")

    def __init__(self, tokens: int, until_s: float):
        self.tokens = tokens
        self.until_s = until_s


class TokenBatches:
    """Borrowed tokens of one account; each is spent once or expires."""

    __slots__ = ("_batches",)

    def __init__(self):
        self._batches: collections.deque[_TokenBatch] = collections.deque()

    def add(self, tokens: int, until_s: float) -> None:
        """Adds tokens that may be spent before `until_s`."""
        if tokens > 0:
            self._batches.append(_TokenBatch(tokens, until_s))

    def take(self, now_s: float) -> float | None:
        """Spends a token; returns when it expires, or None if there is none.

        Args:
            now_s: Current time, read immediately before the call from a clock
                that includes time spent suspended.
        """
        batches = self._batches
        while batches:
            batch = batches[0]
            if batch.tokens and now_s < batch.until_s:
                batch.tokens -= 1
                return batch.until_s
            batches.popleft()
        return None

    def at_hand(self, now_s: float) -> int:
        """Returns the number of tokens that could be spent now."""
        return sum(
            batch.tokens for batch in self._batches if now_s < batch.until_s
        )


class Borrowed:
    """One account's borrowed tokens and demand at this daemon."""

    __slots__ = ("_prefetch_s", "_loan_s", "demand", "retry_at_s", "batches")

    def __init__(self, now_s: float):
        self._prefetch_s = PREFETCH_S
        self._loan_s = 0.0
        self.batches = TokenBatches()
        self.demand = Demand(now_s)
        self.retry_at_s = float("-inf")

    def add(self, loan: messages.Loan, sent_s: float, now_s: float) -> None:
        """Adds a loan; its validity counts from the request, at `sent_s`."""
        self.batches.add(loan.tokens, sent_s + loan.valid_s)
        # Prefetched tokens must be spent before they expire.
        self._prefetch_s = min(PREFETCH_S, loan.valid_s / 2)
        self._loan_s = loan.valid_s
        if loan.retry_after_s > 0:
            self.retry_at_s = now_s + loan.retry_after_s

    def wanted(self, waiting: int, now_s: float) -> int:
        """Returns how many tokens to request.

        Prefetches only as many whole tokens as calls are expected, since a
        token that expires unspent is lost to the whole fleet.
        """
        # Waiting calls may have arrived in a burst, so they are left out of the
        # estimate of future demand.
        steady_per_s = self.demand.per_s(now_s) - waiting / _DEMAND_DECAY_S
        prefetch = max(0, int(steady_per_s * self._prefetch_s))
        at_hand = self.batches.at_hand(now_s)
        if not waiting and (at_hand * 2 > prefetch or now_s < self.retry_at_s):
            return 0
        return max(waiting, prefetch + waiting - at_hand)

    def spare(self, wanted: int, now_s: float) -> int:
        """Returns how many tokens beyond `wanted` are likely to be spent."""
        whole = int(self.demand.per_s(now_s) * self._loan_s * _SPARE_FRACTION)
        return max(0, whole - wanted - self.batches.at_hand(now_s))


class PendingRequest(typing.NamedTuple):
    """A request for tokens that has no response yet.

    Attributes:
        to: The lender: a daemon, or a data centre if an allocator asks.
        client_account: The account whose tokens are requested.
        sent_s: When the request was sent, in seconds.
    """

    to: str
    client_account: str
    sent_s: float


class PendingRequests:
    """Requests for tokens; each accepts at most one response."""

    def __init__(self, first_sequence: int):
        self._next = first_sequence
        self._open: dict[int, PendingRequest] = {}
        # Timed-out requests, which may have been retried. The tokens of a late
        # response still count.
        self._timed_out: dict[int, PendingRequest] = {}

    def open(
        self,
        to: str,
        client_account: str,
        tokens: int,
        now_s: float,
        spare: int = 0,
    ) -> messages.LoanRequest:
        """Records and returns a new request."""
        self._next += 1
        self._open[self._next] = PendingRequest(to, client_account, now_s)
        return messages.LoanRequest(self._next, client_account, tokens, spare)

    def close(self, sequence: int) -> PendingRequest | None:
        """Removes and returns a request; None if it isn't pending."""
        found = self._open.pop(sequence, None)
        return found or self._timed_out.pop(sequence, None)

    def answered(
        self, message: messages.TokenLoan
    ) -> collections.abc.Iterator[tuple[messages.Loan, PendingRequest]]:
        """Yields each loan with its pending request, and closes the request."""
        for loan in message.loans:
            sent = self.close(loan.sequence)
            if sent is not None:
                yield loan, sent

    def count_open(self, client_account: str, excluded: str = "") -> int:
        """Returns the number of open requests for an account.

        Args:
            client_account: The account's name.
            excluded: A lender; requests to it aren't counted.
        """
        return sum(
            sent.client_account == client_account and sent.to != excluded
            for sent in self._open.values()
        )

    def expire(self, older_than_s: float, now_s: float) -> list[PendingRequest]:
        """Times out requests older than `older_than_s` and returns them.

        They no longer block a new request, but a late response is accepted as
        long as its tokens could still be valid.
        """
        old = {
            sequence: sent
            for sequence, sent in self._open.items()
            if now_s - sent.sent_s > older_than_s
        }
        for sequence in old:
            del self._open[sequence]
        self._timed_out = {
            sequence: sent
            for sequence, sent in (self._timed_out | old).items()
            if now_s - sent.sent_s < terms.LONGEST_LOAN_S
        }
        return list(old.values())

    @property
    def any_open(self) -> bool:
        """Whether any request is open."""
        return bool(self._open)


def create_borrowed(now_s: float) -> Borrowed:
    """Returns the state of an account that has borrowed nothing yet."""
    return Borrowed(now_s)


def create_demand(now_s: float) -> Demand:
    """Returns an estimate of zero demand."""
    return Demand(now_s)


def create_token_batches() -> TokenBatches:
    """Returns an empty collection of tokens."""
    return TokenBatches()


def create_pending_requests() -> PendingRequests:
    """Returns an empty table of requests.

    Sequence numbers start at a random value, so that a response to an earlier
    process of this daemon matches no request of this one.
    """
    return PendingRequests(secrets.randbits(48))
