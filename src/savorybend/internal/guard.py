"""Starts requests that must not run twice, if this daemon issued their IDs."""

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

# Decides whether the client account may spend a token on the call.
Admit = collections.abc.Callable[
    [calls.Call], collections.abc.Awaitable[outcomes.Verdict]
]


class Parts(typing.NamedTuple):
    """What a guard is made of."""

    daemon: str
    issuer: issuing.Issuer
    records: records.Records
    journal: journal.Journal
    recovery: answerrecovery.Recovery
    admit: Admit
    children: childcalls.ChildCalls
    target: calls.Target


class Guard:
    """The one place that starts the IDs of this daemon's incarnation.

    Its word is final for an ID: one that it refused is never started later,
    since the caller may have taken a new ID for the request meanwhile.
    """

    def __init__(self, parts: Parts):
        self._parts = parts
        self._closed = False

    @property
    def in_flight(self) -> int:
        """Requests that were started and are not over."""
        return self._parts.records.running

    def close(self) -> None:
        """Starts nothing from now on, ever."""
        self._closed = True

    def is_never_started(self, request_id: requestids.RequestId) -> bool:
        """Returns whether it is certain that nothing ran under an ID."""
        issuer = self._parts.issuer
        if not issuer.owns(request_id):
            return False
        return not issuer.started(request_id)

    async def execute(
        self, call: calls.Call, body: bodies.Body
    ) -> calls.Answer:
        """Returns the answer of the request's only run."""
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
            call, fingerprint, lambda: self._start(call, body)
        )
        if record and record.is_unknown and record.fingerprint == fingerprint:
            # The daemon beside the backend server may have the answer by now.
            answer = await self._parts.recovery.fetch(call, body, answer)
            self._parts.records.replace_unknown_answer(call.request_id, answer)
        return answer

    async def _start(self, call: calls.Call, body: bodies.Body) -> calls.Answer:
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
