"""Turns HTTP requests into calls, or refuses them before anything runs."""

import typing

from aiohttp import web

from savorybend.internal import calls
from savorybend.internal import configstore
from savorybend.internal import errors
from savorybend.internal import handles
from savorybend.internal import headers
from savorybend.internal import issuing
from savorybend.internal import journal
from savorybend.internal import limits
from savorybend.internal import metrics
from savorybend.internal import outcomes
from savorybend.internal import requestids
from savorybend.internal import sentinels
from savorybend.internal import snapshot


class Parts(typing.NamedTuple):
    """What an intake is made of."""

    configuration: configstore.Store
    limiter: limits.Limiter
    handles: handles.Handles
    issuer: issuing.Issuer
    journal: journal.Journal


class RequestValidator:
    """Checks keys, handles, headers and limits."""

    def __init__(self, parts: Parts):
        self._parts = parts

    async def admit_caller(
        self, request: web.BaseRequest, now_s: float
    ) -> calls.Call | outcomes.Refuse:
        """Returns the call of a caller with a key, or its refusal."""
        current = self._parts.configuration.in_force
        if not current:
            return outcomes.refuse(outcomes.NOT_CONFIGURED)
        route = current.route(request.method, request.path)
        if not route:
            return outcomes.refuse(outcomes.ROUTE_UNKNOWN, route.reason)
        account = snapshot.OPEN_ACCOUNT
        key_id = ""
        if not route.open or headers.AUTHORIZATION in request.headers:
            account = account_of(request, current)
            if not isinstance(account, str):
                return account
            key_id = _key_id(request)
        if self._too_old(route):
            return outcomes.refuse(outcomes.CONFIGURATION_OLD)
        timeout_s = _timeout_s(request, route.timeout_s)
        if isinstance(timeout_s, outcomes.Refuse):
            return timeout_s
        request_id = self._request_id(request, route, account)
        if not isinstance(request_id, str):
            return request_id
        call = calls.Call(
            request_id=request_id,
            client_account=account,
            route=route.name,
            service=route.service,
            priority=route.priority,
            idempotent=route.idempotent,
            method=request.method,
            target=request.path_qs,
            headers=headers.passed_on(request.headers.items()),
            deadline_s=now_s + timeout_s,
            retries=route.retries,
            depth=0,
            key_id=key_id,
        )
        if not route.idempotent:
            # The issuer of its ID takes the token, once for all sendings: a
            # refusal here would deny an earlier sending that runs.
            return call
        verdict = await self.take_token(call)
        return verdict if isinstance(verdict, outcomes.Refuse) else call

    async def take_token(self, call: calls.Call) -> outcomes.Verdict:
        """Takes a token of the call's client account."""
        current = self._parts.configuration.in_force
        account = current.accounts.get(call.client_account) if current else None
        verdict: outcomes.Verdict = outcomes.ADMIT
        if account is not None:
            verdict = await self._parts.limiter.take(account, call.deadline_s)
        match verdict:
            case outcomes.Refuse(reason=reason):
                self._note(call, "refused", reason.name)
                self._parts.journal.settle(
                    call.request_id, outcomes.Outcome.NOT_RUN.value, reason.name
                )
                metrics.refusals(call.client_account, reason.name).inc()
            case _:
                self._note(call, "admitted", f"priority={call.priority}")
        return verdict

    async def admit_child(
        self, request: web.BaseRequest, now_s: float
    ) -> calls.Call | outcomes.Refuse:
        """Returns the call that a live request makes, or its refusal."""
        live = self._parts.handles.find(request.headers.get(headers.HANDLE, ""))
        if not live:
            return outcomes.refuse(outcomes.HANDLE_UNKNOWN, live.reason)
        current = self._parts.configuration.in_force
        if not current:
            return outcomes.refuse(outcomes.NOT_CONFIGURED)
        parent = live.call
        if parent.key_id and not current.has_key(
            parent.client_account, parent.key_id
        ):
            # Withdrawing a key ends what its requests may still ask for.
            return outcomes.refuse(outcomes.KEY_UNKNOWN)
        route = current.route(request.method, request.path)
        if not route:
            return outcomes.refuse(outcomes.ROUTE_UNKNOWN, route.reason)
        timeout_s = _timeout_s(request, route.timeout_s)
        if isinstance(timeout_s, outcomes.Refuse):
            return timeout_s
        call = calls.Call(
            request_id=live.next_child_id(),
            client_account=parent.client_account,
            route=route.name,
            service=route.service,
            priority=parent.priority,
            idempotent=route.idempotent,
            method=request.method,
            target=request.path_qs,
            headers=headers.passed_on(request.headers.items()),
            deadline_s=min(parent.deadline_s, now_s + timeout_s),
            retries=live.lend_retries(),
            depth=parent.depth + 1,
            key_id=parent.key_id,
            repeatable=parent.idempotent and not route.idempotent,
        )
        live.effects = live.effects or not route.idempotent
        self._note(call, "child-call", f"depth={call.depth}")
        return call

    def _request_id(
        self, request: web.BaseRequest, route: snapshot.Route, account: str
    ) -> str | outcomes.Refuse:
        if route.idempotent:
            # A caller's own ID could come twice, and then name two runs whose
            # non-idempotent children can't be told apart.
            return self._parts.issuer.issue(account, started=True)
        text = request.headers.get(headers.REQUEST_ID)
        if text is None:
            return outcomes.refuse(outcomes.REQUEST_ID_MISSING)
        parsed = requestids.parse(text)
        if not parsed or parsed.path:
            return outcomes.refuse(
                outcomes.REQUEST_ID_INVALID, requestids.MALFORMED.reason
            )
        return str(parsed)

    def _too_old(self, route: snapshot.Route) -> bool:
        oldest_s = route.refuse_when_older_than_s
        return 0 < oldest_s < self._parts.configuration.age_s

    def _note(self, call: calls.Call, what: str, detail: str) -> None:
        self._parts.journal.note(
            call.request_id,
            what,
            detail,
            client_account=call.client_account,
            route=call.route,
        )


def account_of(
    request: web.BaseRequest, current: snapshot.Snapshot
) -> str | outcomes.Refuse:
    """Returns the client account whose key came with a request."""
    key = headers.parse_bearer(request.headers.get(headers.AUTHORIZATION, ""))
    if not key:
        return outcomes.refuse(outcomes.KEY_MISSING)
    account = current.account_of_key(key)
    if isinstance(account, sentinels.Absence):
        return outcomes.refuse(outcomes.KEY_UNKNOWN, account.reason)
    return account


def _key_id(request: web.BaseRequest) -> str:
    key = headers.parse_bearer(request.headers.get(headers.AUTHORIZATION, ""))
    return key.partition(".")[0]


def _timeout_s(
    request: web.BaseRequest, usual_s: float
) -> float | outcomes.Refuse:
    text = request.headers.get(headers.TIMEOUT)
    if text is None:
        return usual_s
    try:
        return headers.parse_timeout_s(text)
    except errors.InvalidHeaderError as error:
        return outcomes.refuse(outcomes.HEADER_INVALID, str(error))


def create_request_validator(parts: Parts) -> RequestValidator:
    """Returns the intake of a daemon."""
    return RequestValidator(parts)
