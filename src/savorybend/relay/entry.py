"""Where calls enter: route, key, limits, and what can be done at all."""

import math
import typing

import structlog

from savorybend.internal import sentinels
from savorybend.relay import allowance
from savorybend.relay import callers
from savorybend.relay import calls
from savorybend.relay import outcomes
from savorybend.relay import passage
from savorybend.relay import pressure

_UNAUTHORIZED = 401
_NOT_FOUND = 404
_BAD_REQUEST = 400
_TOO_MANY_REQUESTS = 429
_UNAVAILABLE = 503
_DEFAULT_LEFT_S = 30.0
# What a service asks to have refused lasts about so long at least.
_RETURN_S = 1.0
# One who comes back later than after this part of what the answer is worth
# most within is answered late at best.
_PATIENCE_PART = 0.4
# A backend server is told to stop a little before the caller's time is over,
# so that its own answer still arrives.
_HOP_RESERVE_S = 0.005

_log = structlog.get_logger()


class _Asked(typing.NamedTuple):
    """A request that has a route, on its way to becoming a call."""

    exchange: callers.Exchange
    incoming: calls.Incoming
    route: calls.Route
    arrived_s: float


class Entry:
    """Takes callers' requests."""

    def __init__(self, parts: passage.Parts):
        self._parts = parts

    def handle(self, exchange: callers.Exchange) -> None:
        """Answers a request, now or later."""
        incoming = self._parts.codec.decode(exchange)
        if incoming is None:
            exchange.close_after()
            exchange.reply(_BAD_REQUEST, b"", b"")
            return
        configuration = self._parts.catalog.current
        if isinstance(configuration, sentinels.Absence):
            self._turn_away(exchange, incoming, _UNAVAILABLE, "unconfigured")
            return
        path = incoming.target.partition(b"?")[0].decode("latin-1")
        route = configuration.find(incoming.host, path)
        if isinstance(route, sentinels.Absence):
            self._turn_away(exchange, incoming, _NOT_FOUND, "no-route")
            return
        asked = _Asked(
            exchange, incoming, route, self._parts.timers.clock.now_s()
        )
        if route.open_to_all:
            self._begin(asked, None)
            return
        if not self._parts.takes_calls():
            # What a running request calls goes on: it has a right to end.
            self._turn_away(
                exchange, incoming, _UNAVAILABLE, "leaving", _RETURN_S
            )
            return
        name = configuration.keys.get(incoming.key)
        if name is None:
            self._turn_away(exchange, incoming, _UNAUTHORIZED, "no-key")
            return
        self._take_token(asked, configuration.accounts[name])

    def _take_token(
        self, asked: "_Asked", account: calls.ClientAccount
    ) -> None:
        match self._parts.allowance.acquire(account):
            case allowance.Granted():
                self._begin(asked, account)
            case allowance.Refused() as refused:
                self._turn_away_beyond(asked, account, refused)
            case allowance.CacheMiss():
                self._wait_for_token(asked, account)

    def _wait_for_token(
        self, asked: "_Asked", account: calls.ClientAccount
    ) -> None:
        exchange = asked.exchange

        def on_verdict(verdict: allowance.Granted | allowance.Refused) -> None:
            exchange.on_gone = None
            match verdict:
                case allowance.Granted():
                    self._begin(asked, account)
                case allowance.Refused():
                    self._turn_away_beyond(asked, account, verdict)

        waiter = self._parts.allowance.acquire_later(account, on_verdict)
        if waiter.pending:
            exchange.on_gone = waiter.cancel

    def _begin(
        self, asked: "_Asked", account: calls.ClientAccount | None
    ) -> None:
        """Admits a call or refuses it, once its account has a token for it."""
        call = self._create_call(asked, account)
        if account is not None:
            self._parts.budget.note_call(call.service)
            part = self._parts.admission.part(call)
            if part < pressure.ALL and self._parts.spread() >= part:
                self._refuse(asked.exchange, asked.incoming, call, part)
                return
        passage.Passage(self._parts, asked.exchange, call, asked.route).begin()

    def _turn_away_beyond(
        self,
        asked: "_Asked",
        account: calls.ClientAccount,
        refused: allowance.Refused,
    ) -> None:
        status = _TOO_MANY_REQUESTS if refused.over_limit else _UNAVAILABLE
        self._turn_away(
            asked.exchange,
            asked.incoming,
            status,
            "over-limit" if refused.over_limit else "lender-silent",
            refused.retry_after_s,
            account.name,
        )

    def _refuse(
        self,
        exchange: callers.Exchange,
        incoming: calls.Incoming,
        call: calls.Call,
        part: float,
    ) -> None:
        """Refuses a call before it costs anybody anything."""
        now_s = self._parts.timers.clock.now_s()
        left_s = call.deadline_s - now_s
        return_s = min(_RETURN_S, call.patience_s * _PATIENCE_PART)
        later_s = min(
            return_s * (0.5 + self._parts.spread()),
            left_s * passage.LARGEST_RETURN_PART,
        )
        _log.info(
            "call_refused",
            request_id=call.request_id,
            route=call.route,
            client_account=call.client_account,
            reason=outcomes.PRESSURE,
            call_class=call.priority,
            part_admitted=round(part, 2),
            retry_after_s=round(later_s, 3),
            left_s=round(left_s, 3),
        )
        self._parts.counters.note(call, _UNAVAILABLE, outcomes.PRESSURE, 0.0)
        head = self._parts.codec.refusal_head(call.request_id, later_s)
        exchange.reply(_UNAVAILABLE, head, b"")

    def _create_call(
        self, asked: "_Asked", account: calls.ClientAccount | None
    ) -> calls.Call:
        incoming, route = asked.incoming, asked.route
        name = account.name if account else calls.NO_ACCOUNT
        left_s = incoming.left_s
        left_s = _DEFAULT_LEFT_S if left_s is None else left_s
        left_s = min(left_s, route.timeout_s) - _HOP_RESERVE_S
        call = calls.Call()
        call.request_id = incoming.request_id
        call.method = incoming.method
        call.target = incoming.target
        call.host = incoming.host
        call.head = incoming.head + self._parts.codec.own_head(name)
        call.body = incoming.body
        call.service = self._parts.split.choose(route)
        call.route = route.name
        call.idempotent = route.idempotent
        call.client_account = name
        if account is not None:
            call.priority = pressure.class_of(account.priority, route.priority)
        else:
            self._adopt(call)
        call.deadline_s = asked.arrived_s + left_s
        call.patience_s = route.target_latency_s
        return call

    def _adopt(self, call: calls.Call) -> None:
        """Gives a call the class of the request that it was made for."""
        call.priority = pressure.UNKNOWN_CHILD
        parent = self._parts.running(calls.parent_id(call.request_id))
        if parent is None:
            return
        call.priority = pressure.class_of_child(parent.priority)
        call.client_account = parent.client_account
        self._parts.callees.note(
            parent.route, pressure.Callee(call.service, call.route)
        )

    def _turn_away(
        self,
        exchange: callers.Exchange,
        incoming: calls.Incoming,
        status: int,
        reason: str,
        later_s: float = 0.0,
        client_account: str = calls.NO_ACCOUNT,
    ) -> None:
        left_s = incoming.left_s
        most_s = (
            math.inf if left_s is None else left_s * passage.LARGEST_RETURN_PART
        )
        later_s = min(later_s, most_s)
        _log.info(
            "call_turned_away",
            request_id=incoming.request_id,
            client_account=client_account,
            status=status,
            reason=reason,
            version=self._parts.catalog.version,
            retry_after_s=round(later_s, 3),
        )
        self._parts.counters.note_turned_away(status, reason)
        head = self._parts.codec.refusal_head(incoming.request_id, later_s)
        exchange.reply(status, head, b"")


def create_entry(parts: passage.Parts) -> Entry:
    """Returns an entry."""
    return Entry(parts)
