"""Spends borrowed tokens on calls, and asks the allocator for more."""

import asyncio
import collections
import dataclasses
import typing

import msgspec

from savorybend.internal import borrowing
from savorybend.internal import lenders
from savorybend.internal import lending
from savorybend.internal import outcomes
from savorybend.internal import timers
from savorybend.internal.wire import limits as messages

# A call waits this long for an allocator, should none answer at all. It
# outlasts the change from one allocator to the next.
_WAIT_S = 2.5
# A call waits this long while its account is short of tokens: an account
# inside its rate is short for a moment only, and one beyond it is told soon.
_SHORT_S = 0.1
_SWEEP_S = 0.05
_SHORTEST_RETRY_S = 0.02


class Dependencies(typing.NamedTuple):
    """What a spender is made of."""

    clock: timers.Clock
    timers: timers.TimerService
    lenders: lenders.Lenders
    send: lending.Send


@dataclasses.dataclass(slots=True)
class _Account:
    borrowed: borrowing.Borrowed
    waiters: collections.deque["_Waiter"]
    admitted: int = 0
    refused: int = 0


class _Waiter(typing.NamedTuple):
    settled: asyncio.Future
    since_s: float
    until_s: float


class Counts(typing.NamedTuple):
    """How an account stands here.

    Attributes:
        admitted: Calls admitted since start.
        refused: Calls refused since start.
        at_hand: Tokens that could be spent now.
    """

    admitted: int
    refused: int
    at_hand: int


class Spender:
    """The tokens of every account at one daemon."""

    def __init__(self, parts: Dependencies):
        self._parts = parts
        self._accounts: dict[str, _Account] = {}
        self._questions = borrowing.create_pending_requests()
        self._due: set[str] = set()
        self._sweep_later = timers.Later(parts.timers, _SWEEP_S, self._sweep)

    async def take(self, name: str, deadline_s: float) -> outcomes.Verdict:
        """Spends a token, waiting for one no longer than `deadline_s`."""
        account = self._account(name)
        now_s = self._parts.clock.now_s()
        account.borrowed.demand.add(1.0, now_s)
        if not account.waiters:
            if account.borrowed.batches.take(now_s) is not None:
                self._ask_if_wanted(name, account, now_s)
                return self._admit(account)
            retry_at_s = account.borrowed.retry_at_s
            if now_s + _SHORT_S < retry_at_s:
                return self._refuse(account, retry_at_s - now_s)
        until_s = min(deadline_s, now_s + _WAIT_S)
        while True:
            good_until_s = await self._wait(name, account, now_s, until_s)
            # A pause may have come between the token and this line.
            now_s = self._parts.clock.now_s()
            if good_until_s is None or now_s >= until_s:
                wait_s = account.borrowed.retry_at_s - now_s
                return self._refuse(account, wait_s)
            if now_s < good_until_s:
                return self._admit(account)
            # It lapsed meanwhile, which says nothing of the account's rate.

    async def _wait(
        self, name: str, account: _Account, now_s: float, until_s: float
    ) -> float | None:
        """Returns until when a token holds; None if there is none."""
        settled = asyncio.get_running_loop().create_future()
        account.waiters.append(_Waiter(settled, now_s, until_s))
        self._ask_if_wanted(name, account, now_s)
        self._sweep_later.ask()
        return await settled

    def counts(self, name: str) -> Counts:
        """Returns how an account stands."""
        account = self._account(name)
        at_hand = account.borrowed.batches.at_hand(self._parts.clock.now_s())
        return Counts(account.admitted, account.refused, at_hand)

    def on_loan(self, message: messages.TokenLoan) -> None:
        """Takes tokens in and gives them to the calls that wait."""
        now_s = self._parts.clock.now_s()
        for loan, sent in self._questions.answered(message):
            account = self._account(sent.client_account)
            if sent.to != self._parts.lenders.own:
                self._on_loan_from_away(account, loan, sent, now_s)
                continue
            self._parts.lenders.note_answer()
            account.borrowed.add(loan, sent.sent_s, now_s)
            self._serve(account, now_s)
            if loan.retry_after_s > _SHORT_S:
                self._refuse_waiters(account, now_s)
            elif loan.retry_after_s > 0:
                # The sweep asks again for those who go on waiting.
                self._refuse_waiters(account, now_s - _SHORT_S)
            else:
                self._ask_if_wanted(sent.client_account, account, now_s)

    def _on_loan_from_away(
        self,
        account: _Account,
        loan: messages.Loan,
        sent: borrowing.PendingRequest,
        now_s: float,
    ) -> None:
        # That it is short of tokens says nothing of this data centre's share.
        # The sweep asks again for those who go on waiting.
        loan = msgspec.structs.replace(loan, retry_after_s=0.0)
        account.borrowed.add(loan, sent.sent_s, now_s)
        self._serve(account, now_s)

    def _serve(self, account: _Account, now_s: float) -> None:
        while account.waiters:
            waiter = account.waiters[0]
            if waiter.settled.done():
                # The caller left.
                account.waiters.popleft()
                continue
            until_s = account.borrowed.batches.take(now_s)
            if until_s is None:
                return
            account.waiters.popleft()
            waiter.settled.set_result(until_s)

    def _refuse_waiters(self, account: _Account, before_s: float) -> None:
        """Refuses those who wait since `before_s` or longer."""
        if self._parts.lenders.taking_over:
            return
        while account.waiters and account.waiters[0].since_s <= before_s:
            waiter = account.waiters.popleft()
            if not waiter.settled.done():
                waiter.settled.set_result(None)

    def _ask_if_wanted(
        self, name: str, account: _Account, now_s: float
    ) -> None:
        besides = self._parts.lenders.silent
        if name in self._due or self._questions.about(name, besides):
            return
        if account.borrowed.wanted(len(account.waiters), now_s) <= 0:
            return
        # Questions of one turn of the loop share a message.
        if not self._due:
            self._parts.timers.after(0.0, self._ask)
        self._due.add(name)

    def _ask(self) -> None:
        now_s = self._parts.clock.now_s()
        names, self._due = self._due, set()
        wanted = {}
        for name in names:
            account = self._account(name)
            tokens = account.borrowed.wanted(len(account.waiters), now_s)
            if tokens > 0:
                spare = account.borrowed.spare(tokens, now_s)
                wanted[name] = tokens, spare
        if not wanted:
            return
        for allocator in self._parts.lenders.choose():
            asks = tuple(
                self._questions.open(allocator, name, tokens, now_s, spare)
                for name, (tokens, spare) in wanted.items()
            )
            self._parts.send(allocator, messages.TokenRequest(asks))
        self._sweep_later.ask()

    def _sweep(self) -> None:
        now_s = self._parts.clock.now_s()
        for sent in self._questions.expire(lenders.ANSWER_S, now_s):
            self._parts.lenders.note_unanswered(sent.to)
        waiting = False
        for name, account in self._accounts.items():
            self._give_up(account, now_s)
            if account.waiters:
                waiting = True
                self._ask_if_wanted(name, account, now_s)
        if waiting or self._questions.any_open:
            self._sweep_later.ask()

    def _give_up(self, account: _Account, now_s: float) -> None:
        waiters = account.waiters
        while waiters and now_s >= waiters[0].until_s:
            waiter = waiters.popleft()
            if not waiter.settled.done():
                waiter.settled.set_result(None)

    def _admit(self, account: _Account) -> outcomes.Verdict:
        account.admitted += 1
        return outcomes.ADMIT

    def _refuse(self, account: _Account, wait_s: float) -> outcomes.Verdict:
        account.refused += 1
        return outcomes.Refuse(outcomes.LIMITED, max(_SHORTEST_RETRY_S, wait_s))

    def _account(self, name: str) -> _Account:
        found = self._accounts.get(name)
        if found is None:
            now_s = self._parts.clock.now_s()
            borrowed = borrowing.create_borrowed(now_s)
            found = _Account(borrowed, collections.deque())
            self._accounts[name] = found
        return found


def create_spender(parts: Dependencies) -> Spender:
    """Returns a spender that has borrowed nothing yet."""
    return Spender(parts)
