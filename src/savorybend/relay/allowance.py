"""A daemon's tokens of client accounts, one for each call that it lets through.

They are lent by the daemon that keeps the accounts' buckets, see `lender`. A
call for which none is at hand waits for the lender's word, which takes as long
as one message there and back. Where no word comes, the daemon falls back on
its own part of the rate, so that the loss of a lender stops nobody.
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
# Tokens lapse where the lender hasn't been heard for so long.
_KEPT_S = 1.3
# Tokens are kept at hand for the calls of so much time.
_AHEAD_S = 0.5
_DEMAND_KEPT = 0.7
_LEAST_DEMAND_PER_S = 0.01
# A call waits so long for the lender's word, which is several times what a
# message there and back takes.
_PATIENCE_S = 0.2
# Part of the rate that a daemon has on its own, saved up over so long.
_OWN_SAVED_S = 1.0
_SOONEST_RETURN_S = 0.2


@dataclasses.dataclass(frozen=True)
class Granted:
    """There was a token, and it is spent."""


@dataclasses.dataclass(frozen=True)
class CacheMiss:
    """There is none at hand; the lender has to be asked, see `wait`."""


@dataclasses.dataclass(frozen=True)
class Refused:
    """There is no token.

    Attributes:
        later_s: In how many seconds there may be one.
        beyond: Whether the account is known to be beyond its rate; otherwise
            the lender was silent.
    """

    retry_after_s: float
    over_limit: bool


Verdict = Granted | CacheMiss | Refused

TAKEN = Granted()
SHORT = CacheMiss()

OnVerdict = collections.abc.Callable[[Granted | Refused], None]


class Waiter:
    """A call that waits for the lender's word."""

    __slots__ = ("account", "on_verdict", "since_s")

    def __init__(
        self,
        account: calls.ClientAccount,
        on_verdict: OnVerdict,
        since_s: float,
    ):
        self.account = account
        self.on_verdict: OnVerdict | None = on_verdict
        self.since_s = since_s

    @property
    def pending(self) -> bool:
        """Whether the verdict is still to come."""
        return self.on_verdict is not None

    def settle(self, verdict: Granted | Refused) -> None:
        """Gives the call its verdict."""
        on_verdict, self.on_verdict = self.on_verdict, None
        on_verdict(verdict)

    def cancel(self) -> None:
        """Says that the call isn't there any more."""
        self.on_verdict = None


class _Account:
    """What this daemon may still let through of an account."""

    __slots__ = (
        "tokens",
        "until_s",
        "dry_until_s",
        "asked",
        "demand",
        "waiting",
        "asking",
        "own_tokens",
        "own_filled_s",
    )

    def __init__(self, now_s: float):
        self.tokens = 0
        self.until_s = 0.0
        self.dry_until_s = 0.0
        self.asked = 0
        self.demand = 0.0
        self.waiting: collections.deque[Waiter] = collections.deque()
        # Whether the lender's answer is due.
        self.asking = False
        self.own_tokens = 0.0
        self.own_filled_s = now_s


class Parts(typing.NamedTuple):
    """What an allowance is made of.

    Attributes:
        clock: The time.
        size: Returns how many daemons are known.
        ask: Asks the lender; `borrow` is called with its answer, perhaps at
            once.
    """

    clock: timers.Clock
    size: collections.abc.Callable[[], int]
    ask: collections.abc.Callable[[frames.Need], None]


class Allowance:
    """Tokens of each client account at this daemon."""

    def __init__(self, terms: Parts):
        self._clock = terms.clock
        self._size = terms.size
        self._ask = terms.ask
        self._accounts: dict[str, _Account] = {}
        self._heard_s = terms.clock.now_s()

    def acquire(self, account: calls.ClientAccount) -> Verdict:
        """Spends a token, if one is at hand."""
        if account.rate_per_s <= 0:
            return TAKEN
        now_s = self._clock.now_s()
        held = self._accounts.get(account.name)
        if held is None:
            held = self._accounts[account.name] = _Account(now_s)
        held.asked += 1
        if _spend(held, now_s):
            return TAKEN
        if now_s < held.dry_until_s:
            return _refused(held, now_s)
        return SHORT

    def acquire_later(
        self, account: calls.ClientAccount, on_verdict: OnVerdict
    ) -> Waiter:
        """Asks the lender for a token, after `take` found none.

        Args:
            account: The account.
            on_verdict: Called once, perhaps before this returns.
        """
        now_s = self._clock.now_s()
        held = self._accounts[account.name]
        waiter = Waiter(account, on_verdict, now_s)
        held.waiting.append(waiter)
        self._ask_if_waiting(account.name, held)
        return waiter

    def report(self) -> None:
        """Asks for what is expected; called once in `REPORT_EVERY_S`."""
        ahead = {}
        for name, held in self._accounts.items():
            latest = held.asked / REPORT_INTERVAL_S
            held.asked = 0
            held.demand += (latest - held.demand) * (1 - _DEMAND_KEPT)
            missing = int(held.demand * _AHEAD_S) - held.tokens
            if missing > 0 and held.demand > _LEAST_DEMAND_PER_S:
                ahead[name] = missing
        self._ask(frames.Need({}, ahead))

    def borrow(self, loan: frames.Loan) -> None:
        """Takes what the lender lends."""
        now_s = self._clock.now_s()
        self._heard_s = now_s
        for held in self._accounts.values():
            if held.tokens and now_s < held.until_s:
                held.until_s = now_s + _KEPT_S
        for name, lent in loan.tokens.items():
            held = self._accounts.get(name)
            if held is None:
                held = self._accounts[name] = _Account(now_s)
            if now_s >= held.until_s:
                held.tokens = 0
            held.tokens += lent
            held.until_s = now_s + _KEPT_S
        for name, dry_s in loan.dry_s.items():
            held = self._accounts.get(name)
            if held is not None:
                held.dry_until_s = now_s + dry_s
        for name in {**loan.tokens, **loan.dry_s}:
            self._settle(name, now_s)

    def sweep(self) -> None:
        """Settles calls that wait in vain; called in `SWEEP_EVERY_S`."""
        now_s = self._clock.now_s()
        for held in self._accounts.values():
            while held.waiting:
                waiter = held.waiting[0]
                if now_s - waiter.since_s < _PATIENCE_S:
                    break
                held.waiting.popleft()
                held.asking = False
                self._decide_alone(held, waiter, now_s)

    def _settle(self, name: str, now_s: float) -> None:
        held = self._accounts[name]
        held.asking = False
        while held.waiting:
            waiter = held.waiting[0]
            if not waiter.pending:
                held.waiting.popleft()
            elif _spend(held, now_s):
                held.waiting.popleft().settle(TAKEN)
            elif now_s < held.dry_until_s:
                held.waiting.popleft().settle(_refused(held, now_s))
            else:
                break
        self._ask_if_waiting(name, held)

    def _ask_if_waiting(self, name: str, held: _Account) -> None:
        """Asks for as many tokens as calls wait, one question at a time."""
        if held.waiting and not held.asking:
            held.asking = True
            self._ask(frames.Need({name: len(held.waiting)}, {}))

    def _decide_alone(
        self, held: _Account, waiter: Waiter, now_s: float
    ) -> None:
        """Lets a call through by this daemon's own part of the rate."""
        if not waiter.pending:
            return
        if held.own_filled_s < self._heard_s:
            # The lender had all of the rate until then.
            held.own_filled_s = self._heard_s
            held.own_tokens = 0.0
        rate_per_s = waiter.account.rate_per_s / max(1, self._size())
        gained = (now_s - held.own_filled_s) * rate_per_s
        most = max(1.0, rate_per_s * _OWN_SAVED_S)
        held.own_tokens = min(most, held.own_tokens + gained)
        held.own_filled_s = now_s
        if held.own_tokens >= 1.0:
            held.own_tokens -= 1.0
            waiter.settle(TAKEN)
        else:
            waiter.settle(Refused(_SOONEST_RETURN_S, over_limit=False))


def _spend(held: _Account, now_s: float) -> bool:
    if held.tokens < 1 or now_s >= held.until_s:
        return False
    held.tokens -= 1
    return True


def _refused(held: _Account, now_s: float) -> Refused:
    later_s = max(_SOONEST_RETURN_S, held.dry_until_s - now_s)
    return Refused(later_s, over_limit=True)


def create_allowance(terms: Parts) -> Allowance:
    """Returns an allowance that has borrowed nothing yet."""
    return Allowance(terms)
