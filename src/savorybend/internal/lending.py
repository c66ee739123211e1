"""Answers token requests from this data centre's tokens and from donors'.

A donor is another data centre whose allocator lends tokens to this one.
"""

import collections
import collections.abc
import dataclasses
import itertools
import typing

from savorybend.internal import allocation
from savorybend.internal import allocators
from savorybend.internal import borrowing
from savorybend.internal import timers
from savorybend.internal.wire import limits as messages

# How long a request waits for tokens of other data centres. The round trip
# between data centres takes about 3 ms, so only a partition exceeds this.
_DONOR_WAIT_S = 0.1
# How long a data centre that didn't answer is not asked again.
_DONOR_RETRY_S = 0.25
# Seconds of demand for which an allocator reserves tokens for its own data
# centre.
_RESERVE_S = 0.2

Send = collections.abc.Callable[[str, messages.Message], None]


class Dependencies(typing.NamedTuple):
    """Services that a lender uses."""

    clock: timers.Clock
    timers: timers.TimerService
    chooser: allocators.Chooser
    data_centre: str
    send: Send


@dataclasses.dataclass(slots=True)
class _Waiting:
    peer: str
    ask: messages.LoanRequest
    since_s: float
    retry_after_s: float
    tokens: int = 0
    until_s: float = float("inf")


class Lender:
    """Answers requests for tokens.

    A request from another data centre is answered only from the parts that are
    entrusted here, so that no chain of loans arises. A request from this data
    centre may wait for a loan of another, which has subtracted the tokens from
    its own bucket before it sends them.
    """

    def __init__(
        self, dependencies: Dependencies, allocator: allocation.Allocator
    ):
        self._dependencies = dependencies
        self._allocator = allocator
        self._centres: tuple[str, ...] = ()
        self._demand: dict[str, borrowing.Demand] = {}
        self._donated: dict[str, borrowing.TokenBatches] = {}
        self._waiting: dict[str, collections.deque[_Waiting]] = {}
        self._pending_requests = borrowing.create_pending_requests()
        # Until when a data centre has nothing to lend, by account and centre.
        self._donor_empty_until_s: dict[tuple[str, str], float] = {}
        self._round_robin = itertools.count()
        self._sweep_timer = timers.DelayedCall(
            dependencies.timers, _DONOR_WAIT_S, self._sweep
        )

    def set_centres(self, others: tuple[str, ...]) -> None:
        """Sets the names of the other data centres that have shares."""
        self._centres = others

    def on_request(
        self, peer: str, is_local: bool, request: messages.TokenRequest
    ) -> None:
        """Answers a daemon's requests for tokens.

        Some are answered later, once a donor has responded. Without any
        entrusted part, none is answered.

        Args:
            peer: The daemon's name.
            is_local: Whether the daemon is in this data centre.
            request: Its requests.
        """
        now_s = self._dependencies.clock.now_s()
        self._allocator.advance(now_s)
        if not self._allocator.part_count:
            # The requester times out and asks the daemon that has the parts.
            return
        loans = []
        for ask in request.asks:
            if is_local:
                loan = self._lend_local(peer, ask, now_s)
            else:
                loan = self._lend_remote(ask, now_s)
            if loan is not None:
                loans.append(loan)
        if loans:
            self._dependencies.send(peer, messages.TokenLoan(tuple(loans)))

    def on_loan(self, message: messages.TokenLoan) -> None:
        """Adds tokens of another data centre and answers waiting requests."""
        now_s = self._dependencies.clock.now_s()
        for loan, sent in self._pending_requests.answered(message):
            name = sent.client_account
            batches = self._donated.setdefault(
                name, borrowing.create_token_batches()
            )
            batches.add(loan.tokens, sent.sent_s + loan.valid_s)
            if loan.retry_after_s > 0:
                self._donor_empty_until_s[name, sent.to] = (
                    now_s + loan.retry_after_s
                )
            self._serve(name, now_s)

    def _lend_remote(
        self, ask: messages.LoanRequest, now_s: float
    ) -> messages.Loan:
        name = ask.client_account
        reserve = self._demand_of(name, now_s).per_s(now_s) * _RESERVE_S
        free = self._allocator.level(name, now_s) - reserve
        tokens = max(0, min(ask.tokens, int(free)))
        grant = self._allocator.lend(name, tokens, now_s)
        retry_after_s = 0.0
        if grant.tokens < ask.tokens:
            retry_after_s = _RESERVE_S
        return messages.Loan(
            ask.sequence, name, grant.tokens, grant.valid_s, retry_after_s
        )

    def _lend_local(
        self, peer: str, ask: messages.LoanRequest, now_s: float
    ) -> messages.Loan | None:
        name = ask.client_account
        self._demand_of(name, now_s).add(ask.tokens, now_s)
        grant = self._allocator.lend(name, ask.tokens, now_s)
        waiting = _Waiting(
            peer,
            ask,
            now_s,
            grant.retry_after_s,
            grant.tokens,
            now_s + grant.valid_s,
        )
        self._add_donated(waiting, now_s)
        if waiting.tokens >= ask.tokens:
            spare = self._allocator.lend_spare(name, ask.spare, now_s)
            waiting.tokens += spare
            self._demand_of(name, now_s).add(spare, now_s)
            return self._answer(waiting, now_s)
        queue = self._waiting.setdefault(name, collections.deque())
        queue.append(waiting)
        if not self._ask_donors(name, now_s):
            queue.pop()
            return self._answer(waiting, now_s)
        self._sweep_timer.schedule()
        return None

    def _add_donated(self, waiting: _Waiting, now_s: float) -> None:
        batches = self._donated.get(waiting.ask.client_account)
        while batches is not None and waiting.tokens < waiting.ask.tokens:
            until_s = batches.take(now_s)
            if until_s is None:
                return
            waiting.tokens += 1
            waiting.until_s = min(waiting.until_s, until_s)

    def _answer(self, waiting: _Waiting, now_s: float) -> messages.Loan:
        # The daemon counts the validity from when it sent the request, which is
        # no later than `since_s`, so its tokens expire no later than `until_s`.
        ask = waiting.ask
        short = waiting.tokens < ask.tokens
        return messages.Loan(
            ask.sequence,
            ask.client_account,
            waiting.tokens,
            max(0.0, waiting.until_s - waiting.since_s),
            self._retry_after_s(waiting, now_s) if short else 0.0,
        )

    def _retry_after_s(self, waiting: _Waiting, now_s: float) -> float:
        name = waiting.ask.client_account
        waits = [
            self._donor_empty_until_s[name, centre] - now_s
            for centre in self._centres
            if self._donor_empty_until_s.get((name, centre), 0.0) > now_s
        ]
        return min([waiting.retry_after_s, *waits])

    def _serve(self, name: str, now_s: float) -> None:
        queue = self._waiting.get(name)
        while queue:
            waiting = queue[0]
            self._add_donated(waiting, now_s)
            if waiting.tokens < waiting.ask.tokens and self._ask_donors(
                name, now_s
            ):
                return
            queue.popleft()
            loan = self._answer(waiting, now_s)
            self._dependencies.send(waiting.peer, messages.TokenLoan((loan,)))

    def _ask_donors(self, name: str, now_s: float) -> bool:
        """Requests tokens from other data centres unless a request is pending.

        Returns whether a response may arrive.
        """
        if self._pending_requests.count_open(name):
            return True
        donors = [
            centre
            for centre in self._centres
            if self._donor_empty_until_s.get((name, centre), now_s) <= now_s
            and self._dependencies.chooser.allocator(centre)
        ]
        if not donors:
            return False
        missing = sum(w.ask.tokens - w.tokens for w in self._waiting[name])
        # Prefetched tokens must be spent before they expire.
        prefetch_s = min(_RESERVE_S, self._allocator.loan_s(name) / 2)
        prefetch = self._demand_of(name, now_s).per_s(now_s) * prefetch_s
        each = -(-max(missing, int(prefetch)) // len(donors))
        first = next(self._round_robin) % len(donors)
        for centre in donors[first:] + donors[:first]:
            ask = self._pending_requests.open(centre, name, each, now_s)
            allocator = self._dependencies.chooser.allocator(centre)
            self._dependencies.send(allocator, messages.TokenRequest((ask,)))
            missing -= each
            if missing <= 0 and each <= 1:
                break
        return True

    def _sweep(self) -> None:
        now_s = self._dependencies.clock.now_s()
        for sent in self._pending_requests.expire(_DONOR_WAIT_S, now_s):
            self._donor_empty_until_s[sent.client_account, sent.to] = (
                now_s + _DONOR_RETRY_S
            )
        for name, queue in list(self._waiting.items()):
            if queue:
                self._serve(name, now_s)
        if self._pending_requests.any_open or any(self._waiting.values()):
            self._sweep_timer.schedule()

    def _demand_of(self, name: str, now_s: float) -> borrowing.Demand:
        found = self._demand.get(name)
        if found is None:
            found = self._demand[name] = borrowing.create_demand(now_s)
        return found


def create_lender(
    dependencies: Dependencies, allocator: allocation.Allocator
) -> Lender:
    """Returns a lender of the tokens of `allocator`."""
    return Lender(dependencies, allocator)
