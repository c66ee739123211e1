"""An allocator's answers: lends its own tokens, and those of other centres."""

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

# How long a question waits for tokens of other data centres. Two ways between
# data centres are about 3 ms, so this is missed only where one is cut off.
_DONOR_WAIT_S = 0.1
# A data centre that didn't answer is not asked again for so long.
_DONOR_SILENT_S = 0.25
# What an allocator keeps back for its own data centre, in seconds of demand.
_KEEP_S = 0.2

Send = collections.abc.Callable[[str, messages.Message], None]


class Dependencies(typing.NamedTuple):
    """What a lender is made of."""

    clock: timers.Clock
    timers: timers.TimerService
    chooser: allocators.Chooser
    data_centre: str
    send: Send


@dataclasses.dataclass(slots=True)
class _Waiting:
    peer: str
    ask: messages.Ask
    since_s: float
    retry_after_s: float
    tokens: int = 0
    until_s: float = float("inf")


class Lender:
    """Answers questions for tokens.

    A question from another data centre is answered from what is entrusted
    here, so that no chain of loans arises. One from this data centre may wait
    for a loan of another, which has subtracted the tokens before it sends.
    """

    def __init__(self, parts: Dependencies, allocator: allocation.Allocator):
        self._parts = parts
        self._allocator = allocator
        self._centres: tuple[str, ...] = ()
        self._demand: dict[str, borrowing.Demand] = {}
        self._donated: dict[str, borrowing.TokenBatches] = {}
        self._waiting: dict[str, collections.deque[_Waiting]] = {}
        self._questions = borrowing.create_pending_requests()
        # Until when a data centre has nothing to lend, by account and centre.
        self._dry: dict[tuple[str, str], float] = {}
        self._turn = itertools.count()
        self._sweep_later = timers.Later(
            parts.timers, _DONOR_WAIT_S, self._sweep
        )

    def set_centres(self, others: tuple[str, ...]) -> None:
        """Names the other data centres that hold shares."""
        self._centres = others

    def on_request(
        self, peer: str, from_here: bool, request: messages.TokenRequest
    ) -> None:
        """Answers a daemon's questions.

        Args:
            peer: The daemon's name.
            from_here: Whether it is of this data centre.
            request: Its questions.
        """
        now_s = self._parts.clock.now_s()
        self._allocator.advance(now_s)
        if not self._allocator.part_count:
            # Whoever asks turns to the daemon that has them.
            return
        loans = []
        for ask in request.asks:
            if from_here:
                loan = self._lend_here(peer, ask, now_s)
            else:
                loan = self._lend_away(ask, now_s)
            if loan is not None:
                loans.append(loan)
        if loans:
            self._parts.send(peer, messages.TokenLoan(tuple(loans)))

    def on_loan(self, message: messages.TokenLoan) -> None:
        """Takes in what another data centre lends."""
        now_s = self._parts.clock.now_s()
        for loan, sent in self._questions.answered(message):
            name = sent.client_account
            lots = self._donated.setdefault(
                name, borrowing.create_token_batches()
            )
            lots.add(loan.tokens, sent.sent_s + loan.valid_s)
            if loan.retry_after_s > 0:
                self._dry[name, sent.to] = now_s + loan.retry_after_s
            self._serve(name, now_s)

    def _lend_away(self, ask: messages.Ask, now_s: float) -> messages.Loan:
        name = ask.client_account
        keep = self._demand_of(name, now_s).per_s(now_s) * _KEEP_S
        free = self._allocator.level(name, now_s) - keep
        tokens = max(0, min(ask.tokens, int(free)))
        grant = self._allocator.lend(name, tokens, now_s)
        retry_after_s = 0.0
        if grant.tokens < ask.tokens:
            retry_after_s = _KEEP_S
        return messages.Loan(
            ask.sequence, name, grant.tokens, grant.valid_s, retry_after_s
        )

    def _lend_here(
        self, peer: str, ask: messages.Ask, now_s: float
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
        self._sweep_later.ask()
        return None

    def _add_donated(self, waiting: _Waiting, now_s: float) -> None:
        lots = self._donated.get(waiting.ask.client_account)
        while lots is not None and waiting.tokens < waiting.ask.tokens:
            until_s = lots.take(now_s)
            if until_s is None:
                return
            waiting.tokens += 1
            waiting.until_s = min(waiting.until_s, until_s)

    def _answer(self, waiting: _Waiting, now_s: float) -> messages.Loan:
        # The daemon counts from its question, which came no later than
        # `since_s`, so that it stops no later than `until_s`.
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
            self._dry[name, centre] - now_s
            for centre in self._centres
            if self._dry.get((name, centre), 0.0) > now_s
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
            self._parts.send(waiting.peer, messages.TokenLoan((loan,)))

    def _ask_donors(self, name: str, now_s: float) -> bool:
        """Asks other data centres; returns whether an answer may come."""
        if self._questions.about(name):
            return True
        donors = [
            centre
            for centre in self._centres
            if self._dry.get((name, centre), now_s) <= now_s
            and self._parts.chooser.allocator(centre)
        ]
        if not donors:
            return False
        missing = sum(w.ask.tokens - w.tokens for w in self._waiting[name])
        # What is borrowed ahead must be spent before it lapses.
        ahead_s = min(_KEEP_S, self._allocator.loan_s(name) / 2)
        ahead = self._demand_of(name, now_s).per_s(now_s) * ahead_s
        each = -(-max(missing, int(ahead)) // len(donors))
        first = next(self._turn) % len(donors)
        for centre in donors[first:] + donors[:first]:
            ask = self._questions.open(centre, name, each, now_s)
            allocator = self._parts.chooser.allocator(centre)
            self._parts.send(allocator, messages.TokenRequest((ask,)))
            missing -= each
            if missing <= 0 and each <= 1:
                break
        return True

    def _sweep(self) -> None:
        now_s = self._parts.clock.now_s()
        for sent in self._questions.expire(_DONOR_WAIT_S, now_s):
            self._dry[sent.client_account, sent.to] = now_s + _DONOR_SILENT_S
        for name, queue in list(self._waiting.items()):
            if queue:
                self._serve(name, now_s)
        if self._questions.any_open or any(self._waiting.values()):
            self._sweep_later.ask()

    def _demand_of(self, name: str, now_s: float) -> borrowing.Demand:
        found = self._demand.get(name)
        if found is None:
            found = self._demand[name] = borrowing.create_demand(now_s)
        return found


def create_lender(
    parts: Dependencies, allocator: allocation.Allocator
) -> Lender:
    """Returns a lender of what is entrusted to `allocator`."""
    return Lender(parts, allocator)
