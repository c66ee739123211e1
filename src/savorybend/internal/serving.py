"""Executes calls on this VM's backend server.

The last check before dispatch: a call that must not run twice is dispatched at
most once by this daemon, whatever went wrong on its way here.
"""

import asyncio
import typing

import aiohttp

from savorybend.internal import backendanswers
from savorybend.internal import backendserver
from savorybend.internal import bodies
from savorybend.internal import calls
from savorybend.internal import concurrency
from savorybend.internal import errors
from savorybend.internal import executions
from savorybend.internal import fingerprints
from savorybend.internal import handles
from savorybend.internal import headers
from savorybend.internal import journal
from savorybend.internal import outcomes
from savorybend.internal import quarantine
from savorybend.internal import records
from savorybend.internal import sendonce
from savorybend.internal import timers


class Parts(typing.NamedTuple):
    """Dependencies of a serving side."""

    daemon: str
    clock: timers.Clock
    gate: concurrency.Gate
    backend_server: backendserver.BackendServer
    handles: handles.Handles
    journal: journal.Journal
    records: records.Records
    quarantine: quarantine.Quarantine
    session: aiohttp.ClientSession


class Serving:
    """Executes calls on this VM's backend server."""

    def __init__(self, parts: Parts):
        self._parts = parts
        self._draining = False

    def drain(self) -> None:
        """Refuses new calls from now on, so that peers retry them elsewhere."""
        self._draining = True

    async def execute(
        self, call: calls.Call, body: bodies.Body
    ) -> calls.Answer:
        """Returns the call's answer: `not-run` only if nothing ran."""
        if call.idempotent:
            return await self._run(call, body)
        # The records dispatch a call with a given ID once, even if it arrives
        # here more than once.
        fingerprint = fingerprints.of_request(call, body)
        return await self._parts.records.run(
            call, fingerprint, lambda: self._run(call, body)
        )

    async def _run(self, call: calls.Call, body: bodies.Body) -> calls.Answer:
        await self._parts.quarantine.wait(call, body)
        refusal = self._check_before_gate(call, body)
        if refusal is not None:
            return self._not_run(call, refusal)
        permit = await self._parts.gate.acquire(call)
        if isinstance(permit, outcomes.Refuse):
            return self._not_run(call, permit)
        live_request = self._parts.handles.grant(call)
        execution = executions.create_execution(
            executions.Parts(
                self._parts.clock,
                self._parts.gate,
                self._parts.handles,
                self._parts.quarantine,
            ),
            live_request,
            permit,
        )
        # The deadline may have passed during the wait at the gate or a pause of
        # this VM; the clock goes on while the VM is suspended.
        if call.deadline_s <= self._parts.clock.now_s():
            execution.end(whole=False)
            return self._not_run(call, outcomes.refuse(outcomes.TOO_LATE))
        # A report that this request crashed a backend server may have arrived
        # while the call waited at the gate.
        refusal = execution.begin(body)
        if refusal is not None:
            execution.end(whole=False)
            return self._not_run(call, refusal)
        try:
            return await self._dispatch(execution, body)
        except BaseException:
            execution.end(whole=False)
            raise

    def _check_before_gate(
        self, call: calls.Call, body: bodies.Body
    ) -> outcomes.Refuse | None:
        refusal = self._parts.quarantine.check(call, body)
        if refusal is not None:
            return refusal
        if self._draining:
            return outcomes.refuse(outcomes.ELSEWHERE)
        if not self._parts.backend_server.ready:
            return outcomes.refuse(
                outcomes.NO_BACKEND_SERVER,
                f"the backend server is {self._parts.backend_server.state}",
            )
        if call.deadline_s <= self._parts.clock.now_s():
            return outcomes.refuse(outcomes.TOO_LATE)
        return None

    async def _dispatch(
        self, execution: executions.Execution, body: bodies.Body
    ) -> calls.Answer:
        call = execution.call
        remaining_s = call.deadline_s - self._parts.clock.now_s()
        self._parts.journal.note(
            call.request_id,
            "dispatched",
            self._parts.backend_server.address,
            client_account=call.client_account,
            route=call.route,
        )
        try:
            async with asyncio.timeout(max(0.0, remaining_s)):
                response = await self._send(execution, body, remaining_s)
                return await self._create_answer(execution, response)
        except aiohttp.ClientConnectorError as error:
            # Not connected, so no byte of the call reached the backend server.
            self._parts.backend_server.trigger("lose")
            execution.end(whole=False)
            refusal = outcomes.refuse(
                outcomes.NO_BACKEND_SERVER, type(error).__name__
            )
            return self._not_run(call, refusal)
        except TimeoutError:
            execution.end(whole=False)
            return self._unknown(execution, outcomes.TOO_LATE)
        except errors.AnswerUnusableError:
            # The backend server goes on, so it isn't noted as crashed.
            execution.end(whole=False)
            return self._unknown(execution, outcomes.BACKEND_SERVER_LOST)
        except (aiohttp.ClientError, OSError, errors.AnswerLostError):
            execution.end(whole=False)
            if execution.body_lost:
                return self._unknown(execution, outcomes.BODY_LOST)
            execution.note_crash()
            return self._unknown(execution, outcomes.BACKEND_SERVER_LOST)

    async def _send(
        self,
        execution: executions.Execution,
        body: bodies.Body,
        remaining_s: float,
    ) -> backendanswers.Response:
        call = execution.call
        sent_headers = [
            *call.headers,
            (headers.REQUEST_ID, call.request_id),
            (headers.HANDLE, execution.live_request.handle),
            (headers.TIMEOUT, f"{remaining_s:.3f}"),
            (headers.CLIENT_ACCOUNT, call.client_account),
            (headers.PRIORITY, str(call.priority)),
        ]
        data = body.whole
        if data is None:
            data = executions.read_body(body, execution)
            if body.length is not None:
                sent_headers.append(("Content-Length", str(body.length)))
        return await self._parts.session.request(
            call.method,
            f"http://{self._parts.backend_server.address}{call.target}",
            headers=sent_headers,
            data=data or None,
            allow_redirects=False,
            middlewares=(sendonce.send_once,),
        )

    async def _create_answer(
        self,
        execution: executions.Execution,
        response: backendanswers.Response,
    ) -> calls.Answer:
        try:
            response.check_head(execution.call.request_id)
        except errors.AnswerUnusableError:
            response.close()
            raise
        outcome, reason = executions.outcome_of(
            execution.live_request, response
        )
        length = response.content_length
        if length is not None and length <= bodies.INLINE_BYTES:
            body = bodies.WholeBody(await response.read_whole())
            if outcome is outcomes.Outcome.NOT_RUN:
                response.check_alone()
            execution.note_answer()
            execution.end(whole=True)
        else:
            body = bodies.StreamedBody(
                executions.create_reader(response, execution.note_crash),
                length,
                execution.end_of(response),
            )
        live_request = execution.live_request
        self._parts.journal.note_outcome(
            execution.call.request_id, "answered", outcome.value, reason
        )
        return calls.Answer(
            status=response.status,
            headers=headers.select_forwarded(response.headers.items()),
            outcome=outcome,
            reason=reason,
            retry_after_s=outcomes.BACKEND_SERVER_SHED.retry_after_s
            if outcome is outcomes.Outcome.NOT_RUN
            else 0.0,
            decided_by=self._parts.daemon,
            retries_spent=live_request.retries_spent,
            effects=live_request.effects or not execution.call.idempotent,
            threshold=execution.threshold,
            body=body,
        )

    def _not_run(
        self, call: calls.Call, refusal: outcomes.Refuse
    ) -> calls.Answer:
        self._parts.journal.note(
            call.request_id,
            "refused",
            refusal.reason.name,
            client_account=call.client_account,
            route=call.route,
        )
        answer = calls.create_not_run_answer(
            refusal,
            call.request_id,
            self._parts.daemon,
            self._parts.gate.threshold_for(call),
        )
        if not refusal.tried_by:
            return answer
        pair = (headers.TRIED_BY, refusal.tried_by)
        return answer._replace(headers=[*answer.headers, pair])

    def _unknown(
        self, execution: executions.Execution, reason: outcomes.Reason
    ) -> calls.Answer:
        call = execution.call
        self._parts.journal.note_outcome(
            call.request_id,
            "lost",
            outcomes.Outcome.UNKNOWN.value,
            reason.name,
        )
        return calls.create_own_answer(
            outcomes.Outcome.UNKNOWN,
            reason,
            call.request_id,
            self._parts.daemon,
            retries_spent=execution.live_request.retries_spent,
            threshold=execution.threshold,
        )._replace(
            effects=execution.live_request.effects or not call.idempotent
        )


def create_serving(parts: Parts) -> Serving:
    """Returns the serving side of a daemon."""
    return Serving(parts)
