"""Accepts callers' requests: routing, API keys, rate limits and admission."""

import math
import typing

import structlog

from savorybend.internal import sentinels
from savorybend.relay import admission
from savorybend.relay import allowance
from savorybend.relay import calllog
from savorybend.relay import calls
from savorybend.relay import exchanges
from savorybend.relay import forwarding
from savorybend.relay import outcomes

_UNAUTHORIZED = 401
_NOT_FOUND = 404
_BAD_REQUEST = 400
_TOO_MANY_REQUESTS = 429
_UNAVAILABLE = 503
_DEFAULT_TIMEOUT_S = 30.0
# Base Retry-After of calls that are shed or that arrive while the daemon is
# leaving; an overload lasts about this long at least.
_RETRY_AFTER_S = 1.0
# Largest Retry-After of load shedding, as a fraction of the target latency. A
# caller that retries later than this gets its answer late at best.
_RETRY_AFTER_LATENCY_FRACTION = 0.4
# Subtracted from the caller's timeout at each hop, so that the backend server
# stops early enough for its own answer to reach the caller.
_HOP_RESERVE_S = 0.005
# During a shutdown, a call isn't begun in less than this many times what its
# route's calls take.
_ROUTE_TIMES_LEFT = 2.0

_log = structlog.get_logger()


class _RoutedRequest(typing.NamedTuple):
    """A request whose route is known, before a call is created for it."""

    exchange: exchanges.Exchange
    incoming: calls.Incoming
    route: calls.Route
    arrived_s: float


class Ingress:
    """Admits, rejects or sheds callers' requests."""

    def __init__(self, parts: forwarding.Parts):
        self._parts = parts

    def handle(self, exchange: exchanges.Exchange) -> None:
        """Handles a request; the exchange is answered at once or later."""
        incoming = self._parts.codec.decode(exchange)
        if incoming is None:
            exchange.close_after_reply()
            exchange.reply(_BAD_REQUEST, b"", b"")
            return
        if exchange.lacks_room:
            self._reject(
                exchange,
                incoming,
                _UNAVAILABLE,
                outcomes.MEMORY,
                _RETRY_AFTER_S * (0.5 + self._parts.random_fraction()),
            )
            return
        configuration = self._parts.catalog.current
        if isinstance(configuration, sentinels.Absence):
            self._reject(exchange, incoming, _UNAVAILABLE, "unconfigured")
            return
        path = incoming.target.partition(b"?")[0].decode("latin-1")
        route = configuration.find(incoming.host, path)
        if isinstance(route, sentinels.Absence):
            self._reject(exchange, incoming, _NOT_FOUND, "no-route")
            return
        routed = _RoutedRequest(
            exchange, incoming, route, self._parts.timers.clock.now_s()
        )
        if route.open_to_all:
            self._begin(routed, None)
            return
        if not self._parts.takes_calls():
            # Child calls of running requests are still accepted above, so that
            # those requests can complete.
            self._reject_leaving(routed)
            return
        name = configuration.keys.get(incoming.key)
        if name is None:
            self._reject(exchange, incoming, _UNAUTHORIZED, "no-key")
            return
        self._take_token(routed, configuration.accounts[name])

    def _take_token(
        self, routed: "_RoutedRequest", account: calls.ClientAccount
    ) -> None:
        match self._parts.allowance.acquire(account):
            case allowance.Granted():
                self._begin(routed, account)
            case allowance.Refused() as refused:
                self._reject_over_limit(routed, account, refused)
            case allowance.CacheMiss():
                self._wait_for_token(routed, account)

    def _wait_for_token(
        self, routed: "_RoutedRequest", account: calls.ClientAccount
    ) -> None:
        exchange = routed.exchange

        def on_verdict(verdict: allowance.Granted | allowance.Refused) -> None:
            exchange.on_disconnect = None
            exchange.on_shutdown = None
            match verdict:
                case allowance.Granted():
                    self._begin(routed, account)
                case allowance.Refused():
                    self._reject_over_limit(routed, account, verdict)

        waiter = self._parts.allowance.acquire_later(account, on_verdict)

        def on_shutdown() -> None:
            waiter.cancel()
            self._reject_leaving(routed)

        if waiter.pending:
            exchange.on_disconnect = waiter.cancel
            exchange.on_shutdown = on_shutdown

    def _begin(
        self, routed: "_RoutedRequest", account: calls.ClientAccount | None
    ) -> None:
        """Admits or sheds a call for which a rate limit token was taken."""
        if self._would_be_cut(routed.route):
            if account is not None:
                self._parts.allowance.give_back(account)
            self._reject_leaving(routed)
            return
        call = self._create_call(routed, account)
        if account is not None:
            self._parts.budget.note_call(call.service)
            fraction = self._parts.admission.admitted_fraction(call)
            if (
                fraction < admission.FULL_SHARE
                and self._parts.random_fraction() >= fraction
            ):
                self._parts.allowance.give_back(account)
                self._shed(routed.exchange, routed.incoming, call, fraction)
                return
        forwarding.Forwarding(
            self._parts, routed.exchange, call, routed.route, account
        ).begin()

    def _would_be_cut(self, route: calls.Route) -> bool:
        """Returns whether a call might not end before this daemon does."""
        left_s = self._parts.work_ends_s() - self._parts.timers.clock.now_s()
        usual_s = self._parts.route_times.of(route.name)
        return left_s <= usual_s * _ROUTE_TIMES_LEFT

    def _reject_leaving(self, routed: "_RoutedRequest") -> None:
        self._reject(
            routed.exchange,
            routed.incoming,
            _UNAVAILABLE,
            outcomes.LEAVING,
            _RETRY_AFTER_S,
        )

    def _reject_over_limit(
        self,
        routed: "_RoutedRequest",
        account: calls.ClientAccount,
        refused: allowance.Refused,
    ) -> None:
        status = _TOO_MANY_REQUESTS if refused.over_limit else _UNAVAILABLE
        self._reject(
            routed.exchange,
            routed.incoming,
            status,
            "over-limit" if refused.over_limit else "lender-silent",
            refused.retry_after_s,
            account.name,
        )

    def _shed(
        self,
        exchange: exchanges.Exchange,
        incoming: calls.Incoming,
        call: calls.Call,
        fraction: float,
    ) -> None:
        """Sheds a call before it uses any capacity of a backend server."""
        now_s = self._parts.timers.clock.now_s()
        left_s = call.deadline_s - now_s
        base_s = min(
            _RETRY_AFTER_S,
            call.target_latency_s * _RETRY_AFTER_LATENCY_FRACTION,
        )
        retry_after_s = min(
            base_s * (0.5 + self._parts.random_fraction()),
            left_s * forwarding.MAX_RETRY_AFTER_FRACTION,
        )
        calllog.log_call(
            "call_refused",
            call,
            now_s,
            reason=outcomes.PRESSURE,
            call_class=call.priority,
            part_admitted=round(fraction, 2),
            retry_after_s=round(retry_after_s, 3),
        )
        self._parts.counters.record_call(
            call, _UNAVAILABLE, outcomes.PRESSURE, 0.0
        )
        head = self._parts.codec.refusal_head(call.request_id, retry_after_s)
        exchange.reply(_UNAVAILABLE, head, b"")

    def _create_call(
        self, routed: "_RoutedRequest", account: calls.ClientAccount | None
    ) -> calls.Call:
        incoming, route = routed.incoming, routed.route
        name = account.name if account else calls.NO_ACCOUNT
        left_s = incoming.left_s
        left_s = _DEFAULT_TIMEOUT_S if left_s is None else left_s
        left_s = min(left_s, route.timeout_s) - _HOP_RESERVE_S
        call = calls.Call()
        call.request_id = incoming.request_id
        call.method = incoming.method
        call.target = incoming.target
        call.host = incoming.host
        call.head = incoming.head + self._parts.codec.added_headers(name)
        call.body = incoming.body
        call.service = self._parts.split.choose(route)
        call.route = route.name
        call.idempotent = route.idempotent
        call.client_account = name
        if account is not None:
            call.priority = admission.class_of(account.priority, route.priority)
        else:
            self._inherit_priority(call)
        call.deadline_s = min(
            routed.arrived_s + left_s, self._parts.work_ends_s()
        )
        call.target_latency_s = route.target_latency_s
        return call

    def _inherit_priority(self, call: calls.Call) -> None:
        """Copies priority and client account from the call's parent request.

        A call without a known parent gets the least important child class.
        """
        call.priority = admission.UNKNOWN_CHILD
        parent = self._parts.running(calls.parent_id(call.request_id))
        if parent is None:
            return
        call.priority = admission.class_of_child(parent.priority)
        call.client_account = parent.client_account
        self._parts.callees.note(
            parent.route, admission.Callee(call.service, call.route)
        )

    def _reject(
        self,
        exchange: exchanges.Exchange,
        incoming: calls.Incoming,
        status: int,
        reason: str,
        retry_after_s: float = 0.0,
        client_account: str = calls.NO_ACCOUNT,
    ) -> None:
        left_s = incoming.left_s
        max_retry_after_s = (
            math.inf
            if left_s is None
            else left_s * forwarding.MAX_RETRY_AFTER_FRACTION
        )
        retry_after_s = min(retry_after_s, max_retry_after_s)
        _log.info(
            "call_turned_away",
            request_id=incoming.request_id,
            client_account=client_account,
            status=status,
            reason=reason,
            version=self._parts.catalog.version,
            retry_after_s=round(retry_after_s, 3),
        )
        self._parts.counters.record_rejection(status, reason)
        head = self._parts.codec.refusal_head(
            incoming.request_id, retry_after_s
        )
        exchange.reply(status, head, b"")


def create_ingress(parts: forwarding.Parts) -> Ingress:
    """Returns the ingress of a daemon."""
    return Ingress(parts)
