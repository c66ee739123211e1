"""The tokens that a daemon has borrowed, each spent once and in time."""

import collections
import collections.abc
import secrets
import typing

from savorybend.internal import terms
from savorybend.internal.wire import limits as messages

# Demand is averaged over about so many seconds.
_MEMORY_S = 0.5
# Tokens are asked for this far ahead, in seconds: a few requests a second
# keep steady traffic from waiting.
AHEAD_S = 0.25
# Where there is plenty, tokens are asked for this part of the time that they
# hold: each message less is one less for the allocator, too.
_SPARE_PART = 0.75


class Demand:
    """How much is asked for a second, of late."""

    __slots__ = ("_amount", "_time_s")

    def __init__(self, now_s: float):
        self._amount = 0.0
        self._time_s = now_s

    def add(self, amount: float, now_s: float) -> None:
        """Counts what is asked for."""
        self._decay(now_s)
        self._amount += amount

    def per_s(self, now_s: float) -> float:
        """Returns the recent demand a second."""
        self._decay(now_s)
        return self._amount / _MEMORY_S

    def _decay(self, now_s: float) -> None:
        passed_s = now_s - self._time_s
        if passed_s <= 0:
            return
        self._time_s = now_s
        self._amount *= max(0.0, 1.0 - passed_s / _MEMORY_S)


class _Lot:
    __slots__ = ("tokens", "until_s")

    def __init__(self, tokens: int, until_s: float):
        self.tokens = tokens
        self.until_s = until_s


class TokenBatches:
    """Borrowed tokens of one account; each is spent once, or lapses."""

    __slots__ = ("_lots",)

    def __init__(self):
        self._lots: collections.deque[_Lot] = collections.deque()

    def add(self, tokens: int, until_s: float) -> None:
        """Adds tokens that may be spent until an instant."""
        if tokens > 0:
            self._lots.append(_Lot(tokens, until_s))

    def take(self, now_s: float) -> float | None:
        """Spends a token; returns until when that holds, or None.

        Args:
            now_s: The clock that counts suspension, read right before.
        """
        batches = self._lots
        while batches:
            lot = batches[0]
            if lot.tokens and now_s < lot.until_s:
                lot.tokens -= 1
                return lot.until_s
            batches.popleft()
        return None

    def at_hand(self, now_s: float) -> int:
        """Returns the tokens that could be spent now."""
        return sum(lot.tokens for lot in self._lots if now_s < lot.until_s)


class Borrowed:
    """One account's tokens and demand at this daemon."""

    __slots__ = ("_ahead_s", "_loan_s", "demand", "retry_at_s", "batches")

    def __init__(self, now_s: float):
        self._ahead_s = AHEAD_S
        self._loan_s = 0.0
        self.batches = TokenBatches()
        self.demand = Demand(now_s)
        self.retry_at_s = float("-inf")

    def add(self, loan: messages.Loan, sent_s: float, now_s: float) -> None:
        """Takes a loan in, counted from when it was asked for."""
        self.batches.add(loan.tokens, sent_s + loan.valid_s)
        # What is asked for ahead must be spent before it lapses.
        self._ahead_s = min(AHEAD_S, loan.valid_s / 2)
        self._loan_s = loan.valid_s
        if loan.retry_after_s > 0:
            self.retry_at_s = now_s + loan.retry_after_s

    def wanted(self, waiting: int, now_s: float) -> int:
        """Returns how many tokens to ask for.

        Tokens ahead of need are asked for only in whole numbers of expected
        calls: one that lapses unspent is lost to the whole fleet.
        """
        # Calls that wait now may have come all at once, and say nothing of
        # those to come.
        steady_per_s = self.demand.per_s(now_s) - waiting / _MEMORY_S
        ahead = max(0, int(steady_per_s * self._ahead_s))
        at_hand = self.batches.at_hand(now_s)
        if not waiting and (at_hand * 2 > ahead or now_s < self.retry_at_s):
            return 0
        return max(waiting, ahead + waiting - at_hand)

    def spare(self, wanted: int, now_s: float) -> int:
        """Returns how many tokens beyond `wanted` would be spent in time."""
        whole = int(self.demand.per_s(now_s) * self._loan_s * _SPARE_PART)
        return max(0, whole - wanted - self.batches.at_hand(now_s))


class PendingRequest(typing.NamedTuple):
    """A question that isn't answered yet.

    Attributes:
        to: Who was asked.
        client_account: Whose tokens.
        sent_s: When.
    """

    to: str
    client_account: str
    sent_s: float


class PendingRequests:
    """Questions for tokens, each answered at most once."""

    def __init__(self, first_sequence: int):
        self._next = first_sequence
        self._open: dict[int, PendingRequest] = {}
        # Asked again meanwhile; a late answer's tokens still count.
        self._late: dict[int, PendingRequest] = {}

    def open(
        self,
        to: str,
        client_account: str,
        tokens: int,
        now_s: float,
        spare: int = 0,
    ) -> messages.Ask:
        """Returns a new question."""
        self._next += 1
        self._open[self._next] = PendingRequest(to, client_account, now_s)
        return messages.Ask(self._next, client_account, tokens, spare)

    def close(self, sequence: int) -> PendingRequest | None:
        """Returns the question, once; None if it isn't open."""
        found = self._open.pop(sequence, None)
        return found or self._late.pop(sequence, None)

    def answered(
        self, message: messages.TokenLoan
    ) -> collections.abc.Iterator[tuple[messages.Loan, PendingRequest]]:
        """Yields each loan that answers a question of these, and closes it."""
        for loan in message.loans:
            sent = self.close(loan.sequence)
            if sent is not None:
                yield loan, sent

    def about(self, client_account: str, besides: str = "") -> int:
        """Returns how many questions about an account are open.

        Args:
            client_account: The account's name.
            besides: A daemon whose questions aren't counted.
        """
        return sum(
            sent.client_account == client_account and sent.to != besides
            for sent in self._open.values()
        )

    def expire(self, older_than_s: float, now_s: float) -> list[PendingRequest]:
        """Returns the questions that have become older than that.

        They no longer hold up another question, but may still be answered
        while tokens lent on them could be spent.
        """
        old = {
            sequence: sent
            for sequence, sent in self._open.items()
            if now_s - sent.sent_s > older_than_s
        }
        for sequence in old:
            del self._open[sequence]
        self._late = {
            sequence: sent
            for sequence, sent in (self._late | old).items()
            if now_s - sent.sent_s < terms.LONGEST_LOAN_S
        }
        return list(old.values())

    @property
    def any_open(self) -> bool:
        """Whether an answer is awaited."""
        return bool(self._open)


def create_borrowed(now_s: float) -> Borrowed:
    """Returns an account's tokens: none yet."""
    return Borrowed(now_s)


def create_demand(now_s: float) -> Demand:
    """Returns a demand of nothing."""
    return Demand(now_s)


def create_token_batches() -> TokenBatches:
    """Returns no tokens."""
    return TokenBatches()


def create_pending_requests() -> PendingRequests:
    """Returns an empty table of questions.

    Its sequences begin at random, so that no answer to a daemon's earlier
    start fits one of its questions.
    """
    return PendingRequests(secrets.randbits(48))
