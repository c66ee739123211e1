"""HTTP ingress: callers' requests with a key, child calls with a handle."""

import collections.abc
import contextlib
import typing

from aiohttp import web

from savorybend.internal import bodies
from savorybend.internal import calls
from savorybend.internal import childcalls
from savorybend.internal import configstore
from savorybend.internal import guard
from savorybend.internal import handles
from savorybend.internal import headers
from savorybend.internal import httpanswers
from savorybend.internal import issuing
from savorybend.internal import journal
from savorybend.internal import metrics
from savorybend.internal import outcomes
from savorybend.internal import requestids
from savorybend.internal import requestvalidation
from savorybend.internal import timers
from savorybend.internal import uploads

_REQUEST_IDS_PATH = "/savorybend/v1/request-ids"
_ENTRIES_PATH = "/savorybend/v1/entries"
_MAX_IDS = 1000

_FOREIGN_ID_REASONS = frozenset(
    {outcomes.REQUEST_ID_INVALID.name, outcomes.REQUEST_ID_REUSED.name}
)


class Parts(typing.NamedTuple):
    """Dependencies of an ingress."""

    daemon: str
    clock: timers.Clock
    configuration: configstore.Store
    request_validator: requestvalidation.RequestValidator
    target: calls.Target
    guard: guard.Guard
    children: childcalls.ChildCalls
    handles: handles.Handles
    issuer: issuing.Issuer
    journal: journal.Journal
    body_limit_bytes: int
    entries: collections.abc.Callable[[], dict[str, dict[str, list[str]]]]


class Ingress:
    """Converts HTTP requests into calls, and answers into HTTP responses."""

    def __init__(self, parts: Parts):
        self._parts = parts
        self._in_flight = 0

    @property
    def in_flight(self) -> int:
        """Number of requests that are not answered yet."""
        return self._in_flight

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers a caller's request."""
        self._in_flight += 1
        metrics.IN_FLIGHT.inc()
        try:
            if request.path.startswith("/savorybend/"):
                return self._handle_control(request)
            return await self._handle_call(
                request, self._parts.request_validator.admit_caller
            )
        finally:
            self._in_flight -= 1
            metrics.IN_FLIGHT.dec()

    async def handle_child(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Answers a child call that this VM's backend server makes."""
        return await self._handle_call(
            request, self._parts.request_validator.admit_child
        )

    def _handle_control(self, request: web.BaseRequest) -> web.StreamResponse:
        current = self._parts.configuration.in_force
        if not current:
            return self._refuse(outcomes.refuse(outcomes.NOT_CONFIGURED), "")
        account = requestvalidation.account_of(request, current)
        if not isinstance(account, str):
            return self._refuse(account, "")
        if request.path == _ENTRIES_PATH:
            return web.json_response(self._parts.entries())
        if request.path != _REQUEST_IDS_PATH:
            return self._refuse(outcomes.refuse(outcomes.ROUTE_UNKNOWN), "")
        return self._issue(request, account)

    def _issue(
        self, request: web.BaseRequest, account: str
    ) -> web.StreamResponse:
        count = request.query.get("count", "1")
        if not count.isdecimal() or not 1 <= int(count) <= _MAX_IDS:
            refusal = outcomes.refuse(
                outcomes.REQUEST_INVALID, f"count: give 1 to {_MAX_IDS}"
            )
            return self._refuse(refusal, "")
        issued = [self._parts.issuer.issue(account) for _ in range(int(count))]
        return web.json_response({"request_ids": issued})

    async def _handle_call(self, request, admit) -> web.StreamResponse:
        started_s = self._parts.clock.now_s()
        call = await admit(request, started_s)
        if not isinstance(call, calls.Call):
            return self._refuse(
                call, request.headers.get(headers.REQUEST_ID, "")
            )
        body = await uploads.read(
            request, call, self._parts.body_limit_bytes, self._parts.clock
        )
        if isinstance(body, outcomes.Refuse):
            return self._refuse(body, call.request_id, call)
        with self._allow_child_calls(call):
            answer = await self._execute(request, call, body)
            answer = uploads.explain_oversized(call, body, answer)
            response = await httpanswers.send(request, answer, call.request_id)
        elapsed_s = self._parts.clock.now_s() - started_s
        metrics.call_seconds(
            call.client_account, call.priority, answer.outcome.value
        ).observe(elapsed_s)
        self._journal_answer(call, answer)
        return response

    def _allow_child_calls(
        self, call: calls.Call
    ) -> contextlib.AbstractContextManager:
        # For a non-idempotent request the guard at the issuer of its ID covers
        # the children.
        if call.depth or not call.idempotent:
            return contextlib.nullcontext()
        return self._parts.children.allow(call.request_id)

    def _journal_answer(self, call: calls.Call, answer: calls.Answer) -> None:
        if answer.reason in _FOREIGN_ID_REASONS:
            # The ID belongs to another request, whose recorded outcome must not
            # be overwritten.
            self._parts.journal.note(
                call.request_id, "sending-refused", answer.reason
            )
            return
        self._parts.journal.note_outcome(
            call.request_id,
            "answered-caller",
            answer.outcome.value,
            answer.reason,
        )

    async def _execute(
        self, request: web.BaseRequest, call: calls.Call, body: bodies.Body
    ) -> calls.Answer:
        parent_request = self._parts.handles.find(
            request.headers.get(headers.HANDLE, "")
        )
        if not call.depth or not parent_request:
            return await self._parts.target.execute(call, body)
        parent_request.child_started(self._parts.clock.now_s())
        try:
            answer = await self._parts.target.execute(call, body)
        finally:
            parent_request.child_ended(self._parts.clock.now_s())
        self._record_child_answer(parent_request, call, answer)
        return answer

    def _record_child_answer(
        self,
        parent_request: handles.LiveRequest,
        call: calls.Call,
        answer: calls.Answer,
    ) -> None:
        parent_request.return_retries(call.retries, answer.retries_spent)
        parent_request.effects = parent_request.effects or answer.effects
        parent_request.threshold = max(
            parent_request.threshold, answer.threshold
        )
        if answer.outcome is not outcomes.Outcome.RAN or answer.status >= 500:
            parent_request.child_failed = True

    def _refuse(
        self,
        refusal: outcomes.Refuse,
        request_id: str,
        call: calls.Call | None = None,
    ) -> web.Response:
        outcome = outcomes.Outcome.NOT_RUN
        if call is None or not call.idempotent:
            outcome = self._outcome_of_refusal(request_id, call)
        if call is not None:
            self._parts.journal.note_outcome(
                request_id, "refused", outcome.value, refusal.reason.name
            )
        elif requestids.parse(request_id):
            # The caller may have made the ID up, so the recorded outcome of
            # the request stays.
            self._parts.journal.note(
                request_id, "sending-refused", refusal.reason.name
            )
        answer = calls.create_own_answer(
            outcome,
            refusal.reason,
            request_id,
            self._parts.daemon,
            detail=refusal.detail,
            retry_after_s=refusal.retry_after_s,
        )
        return httpanswers.create(answer, request_id)

    def _outcome_of_refusal(
        self, request_id: str, call: calls.Call | None
    ) -> outcomes.Outcome:
        """Returns the outcome to report for a refused request.

        An earlier attempt with the same ID may have run; only the issuer of
        the ID knows.
        """
        parsed = requestids.parse(request_id)
        if call is not None and call.repeatable:
            return outcomes.Outcome.UNKNOWN
        if (
            not parsed
            or parsed.path
            or self._parts.guard.is_never_started(parsed)
        ):
            return outcomes.Outcome.NOT_RUN
        return outcomes.Outcome.UNKNOWN


def create_ingress(parts: Parts) -> Ingress:
    """Returns the ingress of a daemon."""
    return Ingress(parts)
