"""Where calls enter: from callers with a key, from children with a handle."""

import collections.abc
import typing

from aiohttp import web

from savorybend.internal import bodies
from savorybend.internal import calls
from savorybend.internal import configstore
from savorybend.internal import errors
from savorybend.internal import handles
from savorybend.internal import headers
from savorybend.internal import httpanswers
from savorybend.internal import journal
from savorybend.internal import limits
from savorybend.internal import metrics
from savorybend.internal import outcomes
from savorybend.internal import requestids
from savorybend.internal import sentinels
from savorybend.internal import snapshot
from savorybend.internal import timers

_REQUEST_IDS_PATH = "/savorybend/v1/request-ids"
_ENTRIES_PATH = "/savorybend/v1/entries"
_MOST_IDS = 1000


class Parts(typing.NamedTuple):
    """What an entry is made of."""

    daemon: str
    clock: timers.Clock
    configuration: configstore.Store
    limiter: limits.Limiter
    target: calls.Target
    handles: handles.Handles
    issuer: requestids.Issuer
    journal: journal.Journal
    body_limit_bytes: int
    entries: collections.abc.Callable[[], dict[str, dict[str, list[str]]]]


class Entry:
    """Turns HTTP requests into calls and the answers back into HTTP."""

    def __init__(self, parts: Parts):
        self._parts = parts
        self._in_flight = 0

    @property
    def in_flight(self) -> int:
        """Requests that are not answered yet."""
        return self._in_flight

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers a caller's request."""
        self._in_flight += 1
        metrics.IN_FLIGHT.inc()
        try:
            if request.path.startswith("/savorybend/"):
                return self._handle_own(request)
            return await self._handle_call(request, self._admit_caller)
        finally:
            self._in_flight -= 1
            metrics.IN_FLIGHT.dec()

    async def handle_child(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Answers a child call that this VM's backend server makes."""
        return await self._handle_call(request, self._admit_child)

    def _handle_own(self, request: web.BaseRequest) -> web.StreamResponse:
        current = self._parts.configuration.in_force
        if not current:
            return self._refuse(outcomes.refuse(outcomes.NOT_CONFIGURED), "")
        account = _account(request, current)
        if not isinstance(account, str):
            return self._refuse(account, "")
        if request.path == _ENTRIES_PATH:
            return web.json_response(self._parts.entries())
        if request.path != _REQUEST_IDS_PATH:
            return self._refuse(outcomes.refuse(outcomes.ROUTE_UNKNOWN), "")
        return self._issue(request)

    def _issue(self, request: web.BaseRequest) -> web.StreamResponse:
        count = request.query.get("count", "1")
        if not count.isdecimal() or not 1 <= int(count) <= _MOST_IDS:
            refusal = outcomes.refuse(
                outcomes.REQUEST_INVALID, f"count: give 1 to {_MOST_IDS}"
            )
            return self._refuse(refusal, "")
        issued = [self._parts.issuer.issue() for _ in range(int(count))]
        return web.json_response({"request_ids": issued})

    async def _handle_call(self, request, admit) -> web.StreamResponse:
        started_s = self._parts.clock.now_s()
        call = await admit(request, started_s)
        if not isinstance(call, calls.Call):
            return self._refuse(
                call, request.headers.get(headers.REQUEST_ID, "")
            )
        body = await self._read_body(request, call)
        if isinstance(body, outcomes.Refuse):
            return self._refuse(body, call.request_id, call)
        answer = await self._execute(request, call, body)
        response = await httpanswers.send(request, answer, call.request_id)
        passed_s = self._parts.clock.now_s() - started_s
        metrics.call_seconds(
            call.client_account, call.priority, answer.outcome.value
        ).observe(passed_s)
        self._parts.journal.close(
            call.request_id,
            "answered-caller",
            answer.outcome.value,
            answer.reason,
        )
        return response

    async def _admit_caller(
        self, request: web.BaseRequest, now_s: float
    ) -> calls.Call | outcomes.Refuse:
        current = self._parts.configuration.in_force
        if not current:
            return outcomes.refuse(outcomes.NOT_CONFIGURED)
        route = current.route(request.method, request.path)
        if not route:
            return outcomes.refuse(outcomes.ROUTE_UNKNOWN, route.reason)
        account = snapshot.OPEN_ACCOUNT
        if not route.open or headers.AUTHORIZATION in request.headers:
            account = _account(request, current)
            if not isinstance(account, str):
                return account
        if self._too_old(route):
            return outcomes.refuse(outcomes.CONFIGURATION_OLD)
        timeout_s = _timeout_s(request, route.timeout_s)
        if isinstance(timeout_s, outcomes.Refuse):
            return timeout_s
        request_id = self._request_id(request, route)
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
        )
        return await self._limit(call, current)

    async def _limit(
        self, call: calls.Call, current: snapshot.Snapshot
    ) -> calls.Call | outcomes.Refuse:
        account = current.accounts.get(call.client_account)
        verdict: outcomes.Verdict = outcomes.ADMIT
        if account is not None:
            verdict = await self._parts.limiter.take(account, call.deadline_s)
        match verdict:
            case outcomes.Refuse():
                self._note(call, "refused", verdict.reason.name)
                entry = self._parts.journal.show(call.request_id)
                if entry:
                    entry.outcome = outcomes.Outcome.NOT_RUN.value
                    entry.reason = verdict.reason.name
                metrics.refusals(call.client_account, verdict.reason.name).inc()
                return verdict
            case _:
                self._note(call, "admitted", f"priority={call.priority}")
                return call

    async def _admit_child(
        self, request: web.BaseRequest, now_s: float
    ) -> calls.Call | outcomes.Refuse:
        live = self._parts.handles.find(request.headers.get(headers.HANDLE, ""))
        if not live:
            return outcomes.refuse(outcomes.HANDLE_UNKNOWN, live.reason)
        current = self._parts.configuration.in_force
        if not current:
            return outcomes.refuse(outcomes.NOT_CONFIGURED)
        route = current.route(request.method, request.path)
        if not route:
            return outcomes.refuse(outcomes.ROUTE_UNKNOWN, route.reason)
        timeout_s = _timeout_s(request, route.timeout_s)
        if isinstance(timeout_s, outcomes.Refuse):
            return timeout_s
        parent = live.call
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
            retries=live.retries_left,
            depth=parent.depth + 1,
        )
        live.effects = live.effects or not route.idempotent
        self._note(call, "child-call", f"depth={call.depth}")
        return call

    async def _execute(
        self, request: web.BaseRequest, call: calls.Call, body: bodies.Body
    ) -> calls.Answer:
        live = self._parts.handles.find(request.headers.get(headers.HANDLE, ""))
        if not call.depth or not live:
            return await self._parts.target.execute(call, body)
        live.child_started(self._parts.clock.now_s())
        try:
            answer = await self._parts.target.execute(call, body)
        finally:
            live.child_ended(self._parts.clock.now_s())
        self._settle_child(live, answer)
        return answer

    def _settle_child(
        self, live: handles.LiveRequest, answer: calls.Answer
    ) -> None:
        if self._parts.handles.find(live.handle):
            live.threshold = max(live.threshold, answer.threshold)
            live.retries_left = max(0, live.retries_left - answer.retries_spent)
            live.effects = live.effects or answer.effects

    async def _read_body(
        self, request: web.BaseRequest, call: calls.Call
    ) -> bodies.Body | outcomes.Refuse:
        length = request.content_length
        if length is not None and length > self._parts.body_limit_bytes:
            return outcomes.refuse(
                outcomes.BODY_TOO_LARGE,
                f"{length} bytes; at most {self._parts.body_limit_bytes}",
            )
        if not request.body_exists:
            return bodies.EMPTY
        if request.headers.get("Expect", "").lower() == "100-continue":
            await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            request.writer.output_size = 0
        if length is not None and length <= bodies.INLINE_BYTES:
            return bodies.WholeBody(await request.content.read(-1))
        read = _bounded(request, self._parts.body_limit_bytes)
        return bodies.StreamedBody(read, length)

    def _request_id(
        self, request: web.BaseRequest, route: snapshot.Route
    ) -> str | outcomes.Refuse:
        text = request.headers.get(headers.REQUEST_ID)
        if text is None:
            if route.idempotent:
                return self._parts.issuer.issue()
            return outcomes.refuse(outcomes.REQUEST_ID_MISSING)
        parsed = requestids.parse(text)
        if not parsed or parsed.path:
            return outcomes.refuse(
                outcomes.REQUEST_ID_INVALID, requestids.MALFORMED.reason
            )
        return text

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

    def _refuse(
        self,
        refusal: outcomes.Refuse,
        request_id: str,
        call: calls.Call | None = None,
    ) -> web.Response:
        if call is not None:
            self._parts.journal.close(
                request_id,
                "refused",
                outcomes.Outcome.NOT_RUN.value,
                refusal.reason.name,
            )
        answer = calls.not_run(refusal, request_id, self._parts.daemon)
        return httpanswers.create(answer, request_id)


def _account(
    request: web.BaseRequest, current: snapshot.Snapshot
) -> str | outcomes.Refuse:
    key = headers.parse_bearer(request.headers.get(headers.AUTHORIZATION, ""))
    if not key:
        return outcomes.refuse(outcomes.KEY_MISSING)
    account = current.account_of_key(key)
    if isinstance(account, sentinels.Absence):
        return outcomes.refuse(outcomes.KEY_UNKNOWN, account.reason)
    return account


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


def _bounded(request: web.BaseRequest, limit: int):
    seen = 0

    async def read() -> bytes:
        nonlocal seen
        data = await request.content.readany()
        seen += len(data)
        if seen > limit:
            raise errors.AnswerLostError(
                f"the body has more than {limit} bytes: send a smaller one"
            )
        return data

    return read


def create_entry(parts: Parts) -> Entry:
    """Returns the entry of a daemon."""
    return Entry(parts)
