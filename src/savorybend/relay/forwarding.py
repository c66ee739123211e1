"""Forwards an admitted call to daemons, one at a time, until one answers.

A call that certainly didn't run is sent to another daemon. A call that may
have run is retried only if its route is idempotent.
"""

import collections.abc
import typing

from savorybend.internal import sentinels
from savorybend.internal import timers
from savorybend.relay import admission
from savorybend.relay import allowance
from savorybend.relay import calllog
from savorybend.relay import calls
from savorybend.relay import catalog
from savorybend.relay import counters
from savorybend.relay import exchanges
from savorybend.relay import loadbalancer
from savorybend.relay import outcomes
from savorybend.relay import retrybudget
from savorybend.relay import servicetimes
from savorybend.relay import splitting

_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504

# Daemons that one call is sent to before it is refused. Daemons become
# overloaded together, so trying more costs more than it gains.
_MAX_DAEMONS_TRIED = 3
# The same while only limits of backend servers refused it and daemons are left
# that are not known to have one.
_MAX_LIMITED_TRIED = 12
# Largest Retry-After, as a fraction of the time left until the deadline.
MAX_RETRY_AFTER_FRACTION = 0.3
_MIN_RETRY_AFTER_S = 0.05
# An answer may arrive this long after the deadline before the call is failed.
_DEADLINE_GRACE_S = 0.03


class IngressCodec(typing.Protocol):
    """Converts between HTTP requests of callers and calls."""

    def decode(self, exchange: exchanges.Exchange) -> calls.Incoming | None:
        """Decodes a request; returns None if it is malformed."""

    def added_headers(self, client_account: str) -> bytes:
        """Returns the header lines that are added to a forwarded request."""

    def refusal_head(self, request_id: str, retry_after_s: float) -> bytes:
        """Returns the header lines of an answer that no backend server gave.

        Args:
            request_id: The caller's ID for the request.
            retry_after_s: When the caller may retry, in seconds.
        """


class Target(typing.Protocol):
    """Executes calls: this daemon's backend server, or a peer daemon."""

    def submit(
        self,
        call: calls.Call,
        callback: collections.abc.Callable[[outcomes.Outcome], None],
    ) -> typing.Any:
        """Starts a call; returns a handle with a `cancel` method."""


class Parts(typing.NamedTuple):
    """Dependencies of the ingress and of forwarded calls.

    Attributes:
        codec: Converts requests between HTTP and calls.
        catalog: The active configuration.
        allowance: Rate limit tokens of client accounts.
        load_balancer: Selects the daemon for a call.
        target: Returns the target that executes calls at a daemon.
        budget: The retry budget.
        callees: Services that the local backend server calls.
        admission: Decides which fraction of calls is admitted.
        running: Returns the call with a request ID if it is running at this
            daemon, else None.
        split: Selects one of a route's services.
        counters: Counts calls by outcome.
        timers: Clock and timers.
        random_fraction: Returns a random number from 0 to 1, for jitter and
            sampling.
        takes_calls: Returns whether this daemon still accepts new calls.
        work_ends_s: Returns when calls must have ended because this daemon
            shuts down, in seconds of the clock; infinite if it doesn't.
        route_times: How long calls take from their entry to their answer.
    """

    codec: IngressCodec
    catalog: catalog.Catalog
    allowance: allowance.Allowance
    load_balancer: loadbalancer.LoadBalancer
    target: collections.abc.Callable[[str], Target]
    budget: retrybudget.RetryBudget
    callees: admission.Callees
    admission: admission.Admission
    running: collections.abc.Callable[[str], calls.Call | None]
    split: splitting.Split
    counters: counters.Counters
    timers: timers.TimerService
    random_fraction: collections.abc.Callable[[], float]
    takes_calls: collections.abc.Callable[[], bool]
    work_ends_s: collections.abc.Callable[[], float]
    route_times: servicetimes.ServiceTimes


class Forwarding:
    """Forwards one call until it is answered, refused or cancelled."""

    __slots__ = (
        "_parts",
        "_exchange",
        "_call",
        "_route",
        "_started_s",
        "_timer",
        "_handle",
        "_daemon",
        "_dispatched_s",
        "_tried",
        "_arrival_count",
        "_attempt",
        "_finished",
        "_last_outcome",
        "_account",
    )

    def __init__(
        self,
        parts: Parts,
        exchange: exchanges.Exchange,
        call: calls.Call,
        route: calls.Route,
        account: calls.ClientAccount | None,
    ):
        self._parts = parts
        self._exchange = exchange
        self._call = call
        self._route = route
        # The account that a token was taken from.
        self._account = account
        self._started_s = parts.timers.clock.now_s()
        self._timer: timers.Subscription | None = None
        self._handle: typing.Any = None
        self._daemon = ""
        self._dispatched_s = 0.0
        self._tried: list[str] = []
        self._arrival_count = 0
        self._attempt = 0
        self._finished = False
        self._last_outcome: outcomes.Outcome | None = None

    def begin(self) -> None:
        """Sends the call to the first daemon and starts its deadline timer.

        A call that lasts until the end of a shutdown is answered by that.
        """
        self._exchange.on_disconnect = self._on_disconnect
        self._exchange.on_shutdown = self._on_shutdown
        if self._call.deadline_s < self._parts.work_ends_s():
            left_s = self._call.deadline_s - self._started_s
            self._timer = self._parts.timers.after(
                left_s + _DEADLINE_GRACE_S, self._on_deadline
            )
        self._dispatch()

    def _dispatch(self) -> None:
        chosen = self._parts.load_balancer.choose(self._call, self._tried)
        if isinstance(chosen, sentinels.Absence):
            self._reply_last_outcome()
            return
        self._daemon = chosen.daemon
        self._tried.append(chosen.daemon)
        self._attempt += 1
        attempt = self._attempt
        self._dispatched_s = self._parts.timers.clock.now_s()
        self._parts.load_balancer.record_dispatch(chosen.daemon)
        target = self._parts.target(chosen.daemon)
        handle = target.submit(
            self._call, lambda outcome: self._on_outcome(attempt, outcome)
        )
        if self._attempt == attempt and not self._finished:
            self._handle = handle

    def _on_outcome(self, attempt: int, outcome: outcomes.Outcome) -> None:
        if self._finished or attempt != self._attempt:
            self._log_outcome("outcome_passed_over", outcome)
            return
        self._parts.load_balancer.record_outcome(self._daemon, outcome)
        if isinstance(outcome, outcomes.Ran):
            took_s = self._parts.timers.clock.now_s() - self._dispatched_s
            self._parts.load_balancer.record_latency(
                self._daemon, self._call.route, took_s
            )
        self._attempt += 1
        self._handle = None
        self._remember(outcome)
        if self._may_try_next(outcome):
            self._log_outcome("call_sent_elsewhere", outcome)
            self._dispatch()
        else:
            self._reply_last_outcome()

    def _remember(self, outcome: outcomes.Outcome) -> None:
        not_run = isinstance(outcome, outcomes.NotRun)
        if not not_run or outcome.arrived:
            self._arrival_count += 1
        # A later NotRun must not hide that an earlier daemon may have run it.
        if (
            self._last_outcome is None
            or not not_run
            or isinstance(self._last_outcome, outcomes.NotRun)
        ):
            self._last_outcome = outcome

    def _may_try_next(self, outcome: outcomes.Outcome) -> bool:
        now_s = self._parts.timers.clock.now_s()
        if now_s >= self._call.deadline_s:
            return False
        match outcome:
            case outcomes.NotRun(elsewhere=False):
                return False
            case outcomes.NotRun(reason=outcomes.SERVER_LIMIT):
                return self._may_try_unlimited()
            case outcomes.NotRun(arrived=False):
                return len(self._tried) < _MAX_DAEMONS_TRIED
            case outcomes.NotRun():
                return self._may_retry()
            case outcomes.Lost(reason=reason):
                if not self._call.idempotent or reason == outcomes.DEADLINE:
                    return False
                return self._may_retry()
        return False

    def _may_try_unlimited(self) -> bool:
        if len(self._tried) < _MAX_DAEMONS_TRIED:
            return True
        if len(self._tried) >= _MAX_LIMITED_TRIED:
            return False
        return self._parts.load_balancer.has_unlimited(self._call, self._tried)

    def _may_retry(self) -> bool:
        if self._arrival_count >= self._route.max_attempts:
            return False
        if self._none_left():
            return False
        return self._parts.budget.take(self._call.service)

    def _none_left(self) -> bool:
        return not self._parts.load_balancer.choose(self._call, self._tried)

    def _reply_last_outcome(self) -> None:
        match self._last_outcome:
            case outcomes.Ran() as ran:
                now_s = self._parts.timers.clock.now_s()
                self._parts.route_times.note(
                    self._call.route, now_s - self._started_s
                )
                if len(self._tried) > 1:
                    self._log(
                        "call_answered_elsewhere",
                        status=ran.status,
                        asked=",".join(self._tried),
                    )
                self._answer(ran.status, ran.head, ran.body, "ran")
            case outcomes.Lost(reason=reason):
                status = _BAD_GATEWAY
                if reason == outcomes.DEADLINE:
                    status = _GATEWAY_TIMEOUT
                self._fail(status, reason)
            case outcomes.NotRun(reason=reason, retry_after_s=retry_after_s):
                self._refuse(reason, retry_after_s)
            case _:
                self._refuse(outcomes.NO_BACKEND_SERVER, 0.0)

    def _refuse(self, reason: str, retry_after_s: float) -> None:
        now_s = self._parts.timers.clock.now_s()
        left_s = max(0.0, self._call.deadline_s - now_s)
        jittered_min_s = _MIN_RETRY_AFTER_S * (
            1 + self._parts.random_fraction()
        )
        retry_after_s = min(
            max(retry_after_s, jittered_min_s),
            left_s * MAX_RETRY_AFTER_FRACTION,
        )
        head = self._parts.codec.refusal_head(
            self._call.request_id, retry_after_s
        )
        self._log(
            "call_refused",
            reason=reason,
            asked=",".join(self._tried),
            retry_after_s=round(retry_after_s, 3),
        )
        if self._account is not None:
            self._parts.allowance.give_back(self._account)
        self._answer(_UNAVAILABLE, head, b"", reason)

    def _fail(self, status: int, reason: str) -> None:
        head = self._parts.codec.refusal_head(self._call.request_id, 0.0)
        self._log(
            "call_failed",
            status=status,
            reason=reason,
            asked=",".join(self._tried),
        )
        self._answer(status, head, b"", reason)

    def _answer(
        self, status: int, head: bytes, body: bytes, reason: str
    ) -> None:
        self._end()
        took_s = self._parts.timers.clock.now_s() - self._started_s
        self._parts.counters.record_call(self._call, status, reason, took_s)
        self._exchange.reply(status, head, body)

    def _on_deadline(self) -> None:
        if self._finished:
            return
        self._cancel_attempt()
        self._fail(_GATEWAY_TIMEOUT, outcomes.DEADLINE)

    def _on_shutdown(self) -> None:
        if self._finished:
            return
        self._cancel_attempt()
        self._fail(_BAD_GATEWAY, outcomes.LEAVING)

    def _on_disconnect(self) -> None:
        if self._finished:
            return
        self._cancel_attempt()
        self._end()
        self._parts.counters.record_call(
            self._call, 0, outcomes.CALLER_LEFT, 0.0
        )

    def _cancel_attempt(self) -> None:
        self._attempt += 1
        if self._handle is not None:
            self._parts.load_balancer.record_outcome(self._daemon, None)
            self._handle.cancel()
            self._handle = None

    def _end(self) -> None:
        self._finished = True
        if self._timer is not None:
            self._timer.cancel()
        self._exchange.on_disconnect = None
        self._exchange.on_shutdown = None

    def _log_outcome(self, event: str, outcome: outcomes.Outcome) -> None:
        self._log(
            event,
            asked=self._daemon,
            outcome=type(outcome).__name__,
            reason=getattr(outcome, "reason", ""),
        )

    def _log(self, event: str, **fields: object) -> None:
        now_s = self._parts.timers.clock.now_s()
        calllog.log_call(event, self._call, now_s, **fields)
