"""Gives calls to the backend server on this VM; it has the last word."""

import asyncio
import typing

import aiohttp

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
    """What a serving side is made of."""

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
    """Runs calls on this VM's backend server."""

    def __init__(self, parts: Parts):
        self._parts = parts
        self._draining = False

    def drain(self) -> None:
        """Refuses new work from now on, so that peers send it elsewhere."""
        self._draining = True

    async def execute(
        self, call: calls.Call, body: bodies.Body
    ) -> calls.Answer:
        """Returns the call's answer; nothing ran unless it says so."""
        if call.idempotent:
            return await self._run(call, body)
        # The last word: whatever went wrong on the way here, a call that must
        # not run twice is dispatched once.
        fingerprint = fingerprints.of_request(call, body)
        return await self._parts.records.run(
            call, fingerprint, lambda: self._run(call, body)
        )

    async def _run(self, call: calls.Call, body: bodies.Body) -> calls.Answer:
        await self._parts.quarantine.wait(call, body)
        refusal = self._check(call, body)
        if refusal is not None:
            return self._not_run(call, refusal)
        ticket = await self._parts.gate.enter(call)
        if isinstance(ticket, outcomes.Refuse):
            return self._not_run(call, ticket)
        live = self._parts.handles.grant(call)
        flight = executions.create_execution(
            executions.Parts(
                self._parts.clock,
                self._parts.gate,
                self._parts.handles,
                self._parts.quarantine,
            ),
            live,
            ticket,
        )
        # The wait at the gate, or a pause of this VM, may have used up the
        # time; the clock counts suspension.
        if call.deadline_s <= self._parts.clock.now_s():
            flight.end(whole=False)
            return self._not_run(call, outcomes.refuse(outcomes.TOO_LATE))
        # News of a death may have come while the call waited at the gate.
        refusal = flight.begin(body)
        if refusal is not None:
            flight.end(whole=False)
            return self._not_run(call, refusal)
        try:
            return await self._dispatch(flight, body)
        except BaseException:
            flight.end(whole=False)
            raise

    def _check(
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
        self, flight: executions.Execution, body: bodies.Body
    ) -> calls.Answer:
        call = flight.call
        left_s = call.deadline_s - self._parts.clock.now_s()
        self._parts.journal.note(
            call.request_id,
            "dispatched",
            self._parts.backend_server.address,
            client_account=call.client_account,
            route=call.route,
        )
        try:
            async with asyncio.timeout(max(0.0, left_s)):
                response = await self._send(flight, body, left_s)
                return await self._answer(flight, response)
        except aiohttp.ClientConnectorError as error:
            # No connection, so the backend server saw nothing of it.
            self._parts.backend_server.trigger("lose")
            flight.end(whole=False)
            refusal = outcomes.refuse(
                outcomes.NO_BACKEND_SERVER, type(error).__name__
            )
            return self._not_run(call, refusal)
        except TimeoutError:
            flight.end(whole=False)
            return self._unknown(flight, outcomes.TOO_LATE)
        except (aiohttp.ClientError, OSError, errors.AnswerLostError):
            flight.end(whole=False)
            if flight.body_lost:
                return self._unknown(flight, outcomes.BODY_LOST)
            flight.note_death()
            return self._unknown(flight, outcomes.BACKEND_SERVER_LOST)

    async def _send(
        self, flight: executions.Execution, body: bodies.Body, left_s: float
    ) -> aiohttp.ClientResponse:
        call = flight.call
        sent = [
            *call.headers,
            (headers.REQUEST_ID, call.request_id),
            (headers.HANDLE, flight.live.handle),
            (headers.TIMEOUT, f"{left_s:.3f}"),
            (headers.CLIENT_ACCOUNT, call.client_account),
            (headers.PRIORITY, str(call.priority)),
        ]
        data = body.whole
        if data is None:
            data = executions.read_body(body, flight)
            if body.length is not None:
                sent.append(("Content-Length", str(body.length)))
        return await self._parts.session.request(
            call.method,
            f"http://{self._parts.backend_server.address}{call.target}",
            headers=sent,
            data=data or None,
            allow_redirects=False,
            middlewares=(sendonce.send_once,),
        )

    async def _answer(
        self,
        flight: executions.Execution,
        response: aiohttp.ClientResponse,
    ) -> calls.Answer:
        outcome, reason = executions.outcome_of(flight.live, response)
        length = response.content_length
        if length is not None and length <= bodies.INLINE_BYTES:
            body = bodies.WholeBody(await response.read())
            flight.note_answer()
            flight.end(whole=True)
        else:
            body = bodies.StreamedBody(
                executions.create_reader(response, flight.note_death),
                length,
                flight.end_of(response),
            )
        live = flight.live
        self._parts.journal.close(
            flight.call.request_id, "answered", outcome.value, reason
        )
        return calls.Answer(
            status=response.status,
            headers=headers.passed_on(response.headers.items()),
            outcome=outcome,
            reason=reason,
            retry_after_s=outcomes.BACKEND_SERVER_SHED.retry_after_s
            if outcome is outcomes.Outcome.NOT_RUN
            else 0.0,
            decided_by=self._parts.daemon,
            retries_spent=live.retries_spent,
            effects=live.effects or not flight.call.idempotent,
            threshold=flight.threshold,
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
        self, flight: executions.Execution, reason: outcomes.Reason
    ) -> calls.Answer:
        call = flight.call
        self._parts.journal.close(
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
            retries_spent=flight.live.retries_spent,
            threshold=flight.threshold,
        )._replace(effects=flight.live.effects or not call.idempotent)


def create_serving(parts: Parts) -> Serving:
    """Returns the serving side of a VM."""
    return Serving(parts)
