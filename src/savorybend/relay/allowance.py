"""Rate limiting at one daemon: a cache of the client accounts' tokens.

Each admitted call spends one token. Tokens are borrowed from the daemon that
holds the accounts' token buckets (see `lender`). A call that finds no cached
token waits for one round trip to the lender. If the lender doesn't reply in
time, the daemon falls back to an equal share of the rate, so that calls are
still admitted after the loss of a lender.
"""

import collections
import collections.abc
import dataclasses
import typing

from savorybend.internal import timers
from savorybend.relay import calls
from savorybend.relay import frames

REPORT_INTERVAL_S = 0.4
SWEEP_INTERVAL_S = 0.1
# Cached tokens expire if no message from the lender arrives for this long.
_TOKEN_LIFETIME_S = 1.3
# Tokens are prefetched for the expected calls of this period.
_PREFETCH_S = 0.5
_DEMAND_DECAY = 0.7
_MIN_DEMAND_PER_S = 0.01
# How long a call waits for the lender: several times the round trip.
_LENDER_TIMEOUT_S = 0.2
# Burst of the local fallback bucket, in seconds of this daemon's rate share.
_LOCAL_BURST_S = 1.0
_MIN_RETRY_AFTER_S = 0.2


@dataclasses.dataclass(frozen=True)
class Granted:
    """A token was available and has been spent."""


@dataclasses.dataclass(frozen=True)
class CacheMiss:
    """No token is cached; request one with `acquire_later`."""


@dataclasses.dataclass(frozen=True)
class Refused:
    """The call is rejected for lack of a token.

    Attributes:
        retry_after_s: Delay until a token may be available, in seconds.
        over_limit: Whether the account is known to exceed its rate; if false,
            the lender didn't reply.
    """

    retry_after_s: float
    over_limit: bool


Verdict = Granted | CacheMiss | Refused

GRANTED = Granted()
CACHE_MISS = CacheMiss()

OnVerdict = collections.abc.Callable[[Granted | Refused], None]


class Waiter:
    """A call that waits for the lender's reply."""

    __slots__ = ("account", "on_verdict", "enqueued_s")

    def __init__(
        self,
        account: calls.ClientAccount,
        on_verdict: OnVerdict,
        enqueued_s: float,
    ):
        self.account = account
        self.on_verdict: OnVerdict | None = on_verdict
        self.enqueued_s = enqueued_s

    @property
    def pending(self) -> bool:
        """Whether the call is still waiting for its verdict."""
        return self.on_verdict is not None

    def resolve(self, verdict: Granted | Refused) -> None:
        """Passes the verdict to the call's callback."""
        on_verdict, self.on_verdict = self.on_verdict, None
        on_verdict(verdict)

    def cancel(self) -> None:
        """Stops waiting; the callback won't be called."""
        self.on_verdict = None


class _AccountState:
    """The cached tokens and the demand of one account."""

    __slots__ = (
        "tokens",
        "returned",
        "expires_s",
        "exhausted_until_s",
        "requested",
        "demand",
        "waiters",
        "request_pending",
        "local_tokens",
        "local_refilled_s",
    )

    def __init__(self, now_s: float):
        self.tokens = 0
        # Tokens of refused calls, to be given back to the lender.
        self.returned = 0
        self.expires_s = 0.0
        self.exhausted_until_s = 0.0
        self.requested = 0
        self.demand = 0.0
        self.waiters: collections.deque[Waiter] = collections.deque()
        # Whether a request to the lender is outstanding.
        self.request_pending = False
        self.local_tokens = 0.0
        self.local_refilled_s = now_s


class Parts(typing.NamedTuple):
    """Dependencies of `Allowance`.

    Attributes:
        clock: The source of time.
        size: Returns the number of known daemons, this one included.
        ask: Sends a request to the lender; `borrow` is called with the reply,
            possibly before this returns.
    """

    clock: timers.Clock
    size: collections.abc.Callable[[], int]
    ask: collections.abc.Callable[[frames.LoanRequest], None]


class Allowance:
    """The tokens of each client account that this daemon has cached."""

    def __init__(self, parts: Parts):
        self._clock = parts.clock
        self._fleet_size = parts.size
        self._ask = parts.ask
        self._accounts: dict[str, _AccountState] = {}
        self._lender_heard_s = parts.clock.now_s()

    def acquire(self, account: calls.ClientAccount) -> Verdict:
        """Spends a cached token if there is one.

        An account without a rate limit is always granted a token.
        """
        if account.rate_per_s <= 0:
            return GRANTED
        now_s = self._clock.now_s()
        state = self._accounts.get(account.name)
        if state is None:
            state = self._accounts[account.name] = _AccountState(now_s)
        state.requested += 1
        if _spend(state, now_s):
            return GRANTED
        if state.returned and now_s < state.expires_s:
            state.returned -= 1
            return GRANTED
        if now_s < state.exhausted_until_s:
            return _create_refusal(state, now_s)
        return CACHE_MISS

    def acquire_later(
        self, account: calls.ClientAccount, on_verdict: OnVerdict
    ) -> Waiter:
        """Requests a token from the lender after a `CacheMiss`.

        Args:
            account: The account that the call is charged to.
            on_verdict: Called once with the verdict, possibly before this
                returns, unless the waiter is cancelled.
        """
        now_s = self._clock.now_s()
        state = self._accounts[account.name]
        waiter = Waiter(account, on_verdict, now_s)
        state.waiters.append(waiter)
        self._request_if_waiting(account.name, state)
        return waiter

    def give_back(self, account: calls.ClientAccount) -> None:
        """Gives back the token of a call that was refused without a run.

        Otherwise an account would be refused inside its rate, for calls that
        an overloaded service turned away.
        """
        state = self._accounts.get(account.name)
        if account.rate_per_s > 0 and state is not None:
            state.returned += 1

    def report(self) -> None:
        """Reports the tokens at hand and requests some for expected calls.

        Call it every `REPORT_INTERVAL_S` seconds, also without demand: the
        lender counts the daemons that report.
        """
        now_s = self._clock.now_s()
        report = frames.LoanRequest({}, {}, {}, {})
        for name, state in self._accounts.items():
            rate_per_s = state.requested / REPORT_INTERVAL_S
            state.requested = 0
            state.demand += (rate_per_s - state.demand) * (1 - _DEMAND_DECAY)
            _report_account(report, name, state, now_s)
        self._ask(report)

    def borrow(self, loan: frames.Loan) -> None:
        """Adds the tokens of a loan to the cache and resolves waiting calls."""
        now_s = self._clock.now_s()
        self._lender_heard_s = now_s
        for state in self._accounts.values():
            if state.tokens and now_s < state.expires_s:
                state.expires_s = now_s + _TOKEN_LIFETIME_S
        for name, granted in loan.tokens.items():
            state = self._accounts.get(name)
            if state is None:
                state = self._accounts[name] = _AccountState(now_s)
            if now_s >= state.expires_s:
                state.tokens = 0
            state.tokens += granted
            state.expires_s = now_s + _TOKEN_LIFETIME_S
        for name, retry_after_s in loan.retry_after_s.items():
            state = self._accounts.get(name)
            if state is not None:
                state.exhausted_until_s = now_s + retry_after_s
        for name in {**loan.tokens, **loan.retry_after_s}:
            self._resolve_waiters(name, now_s)

    def sweep(self) -> None:
        """Decides calls whose wait for the lender has timed out.

        Call it every `SWEEP_INTERVAL_S` seconds.
        """
        now_s = self._clock.now_s()
        for state in self._accounts.values():
            while state.waiters:
                waiter = state.waiters[0]
                if now_s - waiter.enqueued_s < _LENDER_TIMEOUT_S:
                    break
                state.waiters.popleft()
                state.request_pending = False
                self._decide_locally(state, waiter, now_s)

    def _resolve_waiters(self, name: str, now_s: float) -> None:
        state = self._accounts[name]
        state.request_pending = False
        while state.waiters:
            waiter = state.waiters[0]
            if not waiter.pending:
                state.waiters.popleft()
            elif _spend(state, now_s):
                state.waiters.popleft().resolve(GRANTED)
            elif now_s < state.exhausted_until_s:
                state.waiters.popleft().resolve(_create_refusal(state, now_s))
            else:
                break
        self._request_if_waiting(name, state)

    def _request_if_waiting(self, name: str, state: _AccountState) -> None:
        """Requests a token per waiting call, one request at a time."""
        if state.waiters and not state.request_pending:
            state.request_pending = True
            self._ask(frames.LoanRequest({name: len(state.waiters)}, {}))

    def _decide_locally(
        self, state: _AccountState, waiter: Waiter, now_s: float
    ) -> None:
        """Decides a call by this daemon's equal share of the rate."""
        if not waiter.pending:
            return
        if state.local_refilled_s < self._lender_heard_s:
            # Until then the lender handed out the whole rate, so the local
            # bucket must not count that time.
            state.local_refilled_s = self._lender_heard_s
            state.local_tokens = 0.0
        rate_per_s = waiter.account.rate_per_s / max(1, self._fleet_size())
        gained = (now_s - state.local_refilled_s) * rate_per_s
        max_tokens = max(1.0, rate_per_s * _LOCAL_BURST_S)
        state.local_tokens = min(max_tokens, state.local_tokens + gained)
        state.local_refilled_s = now_s
        if state.local_tokens >= 1.0:
            state.local_tokens -= 1.0
            waiter.resolve(GRANTED)
        else:
            waiter.resolve(Refused(_MIN_RETRY_AFTER_S, over_limit=False))


def _spend(state: _AccountState, now_s: float) -> bool:
    if state.tokens < 1 or now_s >= state.expires_s:
        return False
    state.tokens -= 1
    return True


def _report_account(
    report: frames.LoanRequest, name: str, state: _AccountState, now_s: float
) -> None:
    """Adds an account to a report; gives back the tokens it doesn't need."""
    if now_s >= state.expires_s:
        state.tokens = state.returned = 0
    needed = int(state.demand * _PREFETCH_S)
    surplus = max(0, state.tokens - needed)
    state.tokens -= surplus
    returned, state.returned = state.returned + surplus, 0
    if returned:
        report.returned[name] = returned
    if state.tokens:
        report.held[name] = state.tokens
    if needed > state.tokens and state.demand > _MIN_DEMAND_PER_S:
        report.expected[name] = needed - state.tokens


def _create_refusal(state: _AccountState, now_s: float) -> Refused:
    retry_after_s = max(_MIN_RETRY_AFTER_S, state.exhausted_until_s - now_s)
    return Refused(retry_after_s, over_limit=True)


def create_allowance(parts: Parts) -> Allowance:
    """Returns an allowance with an empty cache."""
    return Allowance(parts)
