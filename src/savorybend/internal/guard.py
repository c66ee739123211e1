"""Starts non-idempotent requests at most once, at the issuer of their IDs."""

import collections.abc
import typing

from savorybend.internal import answerrecovery
from savorybend.internal import bodies
from savorybend.internal import calls
from savorybend.internal import childcalls
from savorybend.internal import fingerprints
from savorybend.internal import issuing
from savorybend.internal import journal
from savorybend.internal import outcomes
from savorybend.internal import records
from savorybend.internal import requestids

# Takes a token of the client account's rate limit for the call, or refuses it.
Admit = collections.abc.Callable[
    [calls.Call], collections.abc.Awaitable[outcomes.Verdict]
]


class Parts(typing.NamedTuple):
    """Dependencies of a guard."""

    daemon: str
    issuer: issuing.Issuer
    records: records.Records
    journal: journal.Journal
    recovery: answerrecovery.Recovery
    admit: Admit
    children: childcalls.ChildCalls
    target: calls.Target


class Guard:
    """Starts each request with an ID of this daemon's incarnation at most once.

    No other component starts them. Once it has refused an ID it never starts
    it later, since the caller may have sent the request with a new ID.
    """

    def __init__(self, parts: Parts):
        self._parts = parts
        self._closed = False

    @property
    def in_flight(self) -> int:
        """Number of started requests that haven't ended."""
        return self._parts.records.running

    def close(self) -> None:
        """Stops starting requests, for the rest of this incarnation."""
        self._closed = True

    def is_never_started(self, request_id: requestids.RequestId) -> bool:
        """Returns whether it is certain that no request ran under an ID."""
        issuer = self._parts.issuer
        if not issuer.owns(request_id):
            return False
        return not issuer.started(request_id)

    async def execute(
        self, call: calls.Call, body: bodies.Body
    ) -> calls.Answer:
        """Starts a request if its ID is unused, and returns its answer.

        A request that was started before gets the answer of its only run.
        """
        parsed = requestids.parse(call.request_id)
        standing = self._parts.issuer.status_of(parsed, call.client_account)
        match standing:
            case issuing.IdStatus.NEVER_ISSUED:
                refusal = outcomes.refuse(outcomes.REQUEST_ID_INVALID)
                return calls.create_not_run_answer(
                    refusal, call.request_id, self._parts.daemon
                )
            case issuing.IdStatus.UNUSED if self._closed:
                refusal = outcomes.refuse(outcomes.ELSEWHERE)
                return calls.create_not_run_answer(
                    refusal, call.request_id, self._parts.daemon
                )
            case issuing.IdStatus.UNUSED:
                self._parts.issuer.start(parsed)
            case _ if not self._parts.records.find(call.request_id):
                return calls.create_unknown_answer(
                    outcomes.RECORD_GONE, call.request_id, self._parts.daemon
                )
        record = self._parts.records.find(call.request_id)
        fingerprint = fingerprints.of_request(call, body)
        answer = await self._parts.records.run(
            call, fingerprint, lambda: self._run(call, body)
        )
        if record and record.is_unknown and record.fingerprint == fingerprint:
            # The daemon that dispatched it may have the answer by now.
            answer = await self._parts.recovery.fetch(call, body, answer)
            self._parts.records.replace_unknown_answer(call.request_id, answer)
        return answer

    async def _run(self, call: calls.Call, body: bodies.Body) -> calls.Answer:
        verdict = await self._parts.admit(call)
        match verdict:
            case outcomes.Refuse():
                answer = calls.create_not_run_answer(
                    verdict, call.request_id, self._parts.daemon
                )
            case _:
                self._parts.children.allow_until(
                    call.request_id, call.deadline_s
                )
                answer = await self._parts.target.execute(call, body)
        if answer.reason == outcomes.ANSWER_LOST.name:
            answer = await self._parts.recovery.fetch(call, body, answer)
        self._parts.journal.note_outcome(
            call.request_id, "settled", answer.outcome.value, answer.reason
        )
        return answer


def create_guard(parts: Parts) -> Guard:
    """Returns the guard of a daemon's incarnation."""
    return Guard(parts)
