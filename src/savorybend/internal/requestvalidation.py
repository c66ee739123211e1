"""Validates HTTP requests and converts them into calls or refusals.

Nothing has run for a request that is refused here.
"""

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
    """Dependencies of a request validator."""

    configuration: configstore.Store
    limiter: limits.Limiter
    handles: handles.Handles
    issuer: issuing.Issuer
    journal: journal.Journal


class RequestValidator:
    """Checks keys, handles, headers and rate limits."""

    def __init__(self, parts: Parts):
        self._parts = parts

    async def admit_caller(
        self, request: web.BaseRequest, now_s: float
    ) -> calls.Call | outcomes.Refuse:
        """Returns the call for a caller's request, or a refusal.

        Args:
            request: The request; its key may be missing on an open route.
            now_s: The time, in seconds of this VM's clock.
        """
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
        if self._is_configuration_stale(route):
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
            headers=headers.select_forwarded(request.headers.items()),
            deadline_s=now_s + timeout_s,
            retries=route.retries,
            depth=0,
            key_id=key_id,
        )
        if not route.idempotent:
            # The issuer of the ID takes one token for all attempts with this
            # ID: a refusal here would say not-run of an earlier attempt that
            # runs.
            return call
        verdict = await self.take_token(call)
        return verdict if isinstance(verdict, outcomes.Refuse) else call

    async def take_token(self, call: calls.Call) -> outcomes.Verdict:
        """Takes a rate limit token of the call's client account.

        Returns:
            `outcomes.ADMIT`, or the refusal where the account is over its
            limit. An account without a configuration isn't limited.
        """
        current = self._parts.configuration.in_force
        account = current.accounts.get(call.client_account) if current else None
        verdict: outcomes.Verdict = outcomes.ADMIT
        if account is not None:
            verdict = await self._parts.limiter.take(account, call.deadline_s)
        match verdict:
            case outcomes.Refuse(reason=reason):
                self._journal_event(call, "refused", reason.name)
                self._parts.journal.set_outcome(
                    call.request_id, outcomes.Outcome.NOT_RUN.value, reason.name
                )
                metrics.refusals(call.client_account, reason.name).inc()
            case _:
                self._journal_event(
                    call, "admitted", f"priority={call.priority}"
                )
        return verdict

    async def admit_child(
        self, request: web.BaseRequest, now_s: float
    ) -> calls.Call | outcomes.Refuse:
        """Returns the child call that a running request makes, or a refusal.

        Args:
            request: The request, with the handle of its parent.
            now_s: The time, in seconds of this VM's clock.
        """
        parent_request = self._parts.handles.find(
            request.headers.get(headers.HANDLE, "")
        )
        if not parent_request:
            return outcomes.refuse(
                outcomes.HANDLE_UNKNOWN, parent_request.reason
            )
        current = self._parts.configuration.in_force
        if not current:
            return outcomes.refuse(outcomes.NOT_CONFIGURED)
        parent = parent_request.call
        if parent.key_id and not current.has_key(
            parent.client_account, parent.key_id
        ):
            # Once a key is withdrawn, requests that came with it make no more
            # child calls.
            return outcomes.refuse(outcomes.KEY_UNKNOWN)
        route = current.route(request.method, request.path)
        if not route:
            return outcomes.refuse(outcomes.ROUTE_UNKNOWN, route.reason)
        timeout_s = _timeout_s(request, route.timeout_s)
        if isinstance(timeout_s, outcomes.Refuse):
            return timeout_s
        call = calls.Call(
            request_id=parent_request.next_child_id(),
            client_account=parent.client_account,
            route=route.name,
            service=route.service,
            priority=parent.priority,
            idempotent=route.idempotent,
            method=request.method,
            target=request.path_qs,
            headers=headers.select_forwarded(request.headers.items()),
            deadline_s=min(parent.deadline_s, now_s + timeout_s),
            retries=parent_request.lend_retries(),
            depth=parent.depth + 1,
            key_id=parent.key_id,
            repeatable=parent.idempotent and not route.idempotent,
        )
        parent_request.effects = parent_request.effects or not route.idempotent
        self._journal_event(call, "child-call", f"depth={call.depth}")
        return call

    def _request_id(
        self, request: web.BaseRequest, route: snapshot.Route, account: str
    ) -> str | outcomes.Refuse:
        if route.idempotent:
            # Always a new ID: one chosen by the caller could come twice and
            # name two runs whose non-idempotent children have the same IDs.
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

    def _is_configuration_stale(self, route: snapshot.Route) -> bool:
        max_age_s = route.refuse_when_older_than_s
        return 0 < max_age_s < self._parts.configuration.age_s

    def _journal_event(self, call: calls.Call, event: str, detail: str) -> None:
        self._parts.journal.note(
            call.request_id,
            event,
            detail,
            client_account=call.client_account,
            route=call.route,
        )


def account_of(
    request: web.BaseRequest, current: snapshot.Snapshot
) -> str | outcomes.Refuse:
    """Returns the client account of a request's key, or a refusal."""
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
    request: web.BaseRequest, default_s: float
) -> float | outcomes.Refuse:
    text = request.headers.get(headers.TIMEOUT)
    if text is None:
        return default_s
    try:
        return headers.parse_timeout_s(text)
    except errors.InvalidHeaderError as error:
        return outcomes.refuse(outcomes.HEADER_INVALID, str(error))


def create_request_validator(parts: Parts) -> RequestValidator:
    """Returns the request validator of a daemon."""
    return RequestValidator(parts)
