"""Spends borrowed tokens on calls and requests more from the allocator."""

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

# Longest time that a call waits if no allocator answers. A change from one
# allocator to the next takes less.
_MAX_WAIT_S = 2.5
# Longest time that a call waits while its account is short of tokens. An
# account within its rate is short only briefly; one above its rate is refused
# quickly.
_SHORTAGE_WAIT_S = 0.1
_SWEEP_S = 0.05
_MIN_RETRY_S = 0.02


class Dependencies(typing.NamedTuple):
    """Services that a spender uses."""

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
    future: asyncio.Future
    since_s: float
    until_s: float


class Counts(typing.NamedTuple):
    """The state of an account at this daemon.

    Attributes:
        admitted: Calls admitted since start.
        refused: Calls refused since start.
        at_hand: Borrowed tokens that could be spent now.
    """

    admitted: int
    refused: int
    at_hand: int


class Spender:
    """Spends the borrowed tokens of every account at one daemon."""

    def __init__(self, dependencies: Dependencies):
        self._dependencies = dependencies
        self._accounts: dict[str, _Account] = {}
        self._pending_requests = borrowing.create_pending_requests()
        self._accounts_to_request: set[str] = set()
        self._sweep_timer = timers.DelayedCall(
            dependencies.timers, _SWEEP_S, self._sweep
        )

    async def take(self, name: str, deadline_s: float) -> outcomes.Verdict:
        """Spends a token, waiting for one no longer than `deadline_s`."""
        account = self._account(name)
        now_s = self._dependencies.clock.now_s()
        account.borrowed.demand.add(1.0, now_s)
        if not account.waiters:
            if account.borrowed.batches.take(now_s) is not None:
                self._request_if_wanted(name, account, now_s)
                return self._admit(account)
            retry_at_s = account.borrowed.retry_at_s
            if now_s + _SHORTAGE_WAIT_S < retry_at_s:
                return self._refuse(account, retry_at_s - now_s)
        until_s = min(deadline_s, now_s + _MAX_WAIT_S)
        while True:
            valid_until_s = await self._wait(name, account, now_s, until_s)
            # The process may have been paused since the token was taken.
            now_s = self._dependencies.clock.now_s()
            if valid_until_s is None or now_s >= until_s:
                wait_s = account.borrowed.retry_at_s - now_s
                return self._refuse(account, wait_s)
            if now_s < valid_until_s:
                return self._admit(account)
            # The token expired during a pause, which is no sign that the
            # account is above its rate; wait for another one.

    async def _wait(
        self, name: str, account: _Account, now_s: float, until_s: float
    ) -> float | None:
        """Waits for a token; returns when it expires, or None if refused."""
        future = asyncio.get_running_loop().create_future()
        account.waiters.append(_Waiter(future, now_s, until_s))
        self._request_if_wanted(name, account, now_s)
        self._sweep_timer.schedule()
        return await future

    def counts(self, name: str) -> Counts:
        """Returns the state of an account."""
        account = self._account(name)
        at_hand = account.borrowed.batches.at_hand(
            self._dependencies.clock.now_s()
        )
        return Counts(account.admitted, account.refused, at_hand)

    def on_loan(self, message: messages.TokenLoan) -> None:
        """Adds lent tokens and gives them to waiting calls."""
        now_s = self._dependencies.clock.now_s()
        for loan, sent in self._pending_requests.answered(message):
            account = self._account(sent.client_account)
            if sent.to != self._dependencies.lenders.own:
                self._on_remote_loan(account, loan, sent, now_s)
                continue
            self._dependencies.lenders.note_answer()
            account.borrowed.add(loan, sent.sent_s, now_s)
            self._serve(account, now_s)
            if loan.retry_after_s > _SHORTAGE_WAIT_S:
                self._refuse_waiters(account, now_s)
            elif loan.retry_after_s > 0:
                # The sweep requests tokens again for calls that still wait.
                self._refuse_waiters(account, now_s - _SHORTAGE_WAIT_S)
            else:
                self._request_if_wanted(sent.client_account, account, now_s)

    def _on_remote_loan(
        self,
        account: _Account,
        loan: messages.Loan,
        sent: borrowing.PendingRequest,
        now_s: float,
    ) -> None:
        # A shortage in another data centre says nothing about this one's share.
        # The sweep requests tokens again for calls that still wait.
        loan = msgspec.structs.replace(loan, retry_after_s=0.0)
        account.borrowed.add(loan, sent.sent_s, now_s)
        self._serve(account, now_s)

    def _serve(self, account: _Account, now_s: float) -> None:
        while account.waiters:
            waiter = account.waiters[0]
            if waiter.future.done():
                # The call was cancelled.
                account.waiters.popleft()
                continue
            until_s = account.borrowed.batches.take(now_s)
            if until_s is None:
                return
            account.waiters.popleft()
            waiter.future.set_result(until_s)

    def _refuse_waiters(self, account: _Account, before_s: float) -> None:
        """Refuses the calls that have waited since `before_s` or longer."""
        if self._dependencies.lenders.taking_over:
            return
        while account.waiters and account.waiters[0].since_s <= before_s:
            waiter = account.waiters.popleft()
            if not waiter.future.done():
                waiter.future.set_result(None)

    def _request_if_wanted(
        self, name: str, account: _Account, now_s: float
    ) -> None:
        excluded = self._dependencies.lenders.silent
        if (
            name in self._accounts_to_request
            or self._pending_requests.count_open(name, excluded)
        ):
            return
        if account.borrowed.wanted(len(account.waiters), now_s) <= 0:
            return
        # Requests from one iteration of the event loop share a message.
        if not self._accounts_to_request:
            self._dependencies.timers.after(0.0, self._send_requests)
        self._accounts_to_request.add(name)

    def _send_requests(self) -> None:
        now_s = self._dependencies.clock.now_s()
        names, self._accounts_to_request = self._accounts_to_request, set()
        wanted = {}
        for name in names:
            account = self._account(name)
            tokens = account.borrowed.wanted(len(account.waiters), now_s)
            if tokens > 0:
                spare = account.borrowed.spare(tokens, now_s)
                wanted[name] = tokens, spare
        if not wanted:
            return
        for allocator in self._dependencies.lenders.choose():
            asks = tuple(
                self._pending_requests.open(
                    allocator, name, tokens, now_s, spare
                )
                for name, (tokens, spare) in wanted.items()
            )
            self._dependencies.send(allocator, messages.TokenRequest(asks))
        self._sweep_timer.schedule()

    def _sweep(self) -> None:
        now_s = self._dependencies.clock.now_s()
        for sent in self._pending_requests.expire(lenders.ANSWER_S, now_s):
            self._dependencies.lenders.note_unanswered(sent.to)
        waiting = False
        for name, account in self._accounts.items():
            self._time_out_waiters(account, now_s)
            if account.waiters:
                waiting = True
                self._request_if_wanted(name, account, now_s)
        if waiting or self._pending_requests.any_open:
            self._sweep_timer.schedule()

    def _time_out_waiters(self, account: _Account, now_s: float) -> None:
        waiters = account.waiters
        while waiters and now_s >= waiters[0].until_s:
            waiter = waiters.popleft()
            if not waiter.future.done():
                waiter.future.set_result(None)

    def _admit(self, account: _Account) -> outcomes.Verdict:
        account.admitted += 1
        return outcomes.ADMIT

    def _refuse(self, account: _Account, wait_s: float) -> outcomes.Verdict:
        account.refused += 1
        return outcomes.Refuse(outcomes.LIMITED, max(_MIN_RETRY_S, wait_s))

    def _account(self, name: str) -> _Account:
        found = self._accounts.get(name)
        if found is None:
            now_s = self._dependencies.clock.now_s()
            borrowed = borrowing.create_borrowed(now_s)
            found = _Account(borrowed, collections.deque())
            self._accounts[name] = found
        return found


def create_spender(dependencies: Dependencies) -> Spender:
    """Returns a spender that has borrowed nothing yet."""
    return Spender(dependencies)
