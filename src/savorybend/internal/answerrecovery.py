"""Recovers the answer of a request by ID when the answer was lost."""

import asyncio
import typing

from savorybend.internal import bodies
from savorybend.internal import calls
from savorybend.internal import fingerprints
from savorybend.internal import inquiries
from savorybend.internal import members
from savorybend.internal import outcomes
from savorybend.internal import timers
from savorybend.internal.wire import requests as wire

# A daemon that doesn't reply within this time may have run the request. The
# caller gets the fallback answer then, rather than at its deadline.
_INQUIRY_TIMEOUT_S = 1.0
# Interval of inquiries while a daemon replies that the request is running.
_POLL_S = 0.1

_DECIDED_OUTCOMES = frozenset({outcomes.Outcome.RAN, outcomes.Outcome.PARTIAL})


class Parts(typing.NamedTuple):
    """Dependencies of a recovery."""

    clock: timers.Clock
    directory: members.Directory
    inquirer: inquiries.Inquirer


class Recovery:
    """Asks the daemons of a service for the answer of a request."""

    def __init__(self, parts: Parts):
        self._parts = parts

    async def fetch(
        self, call: calls.Call, body: bodies.Body, fallback: calls.Answer
    ) -> calls.Answer:
        """Returns the request's answer, or `fallback` if no daemon has it.

        That doesn't prove that the request never ran: its issuer may have
        served it, a lost daemon may have run it, and an issuer that was only
        paused may still start it. `fallback` must therefore have the outcome
        `unknown`.
        """
        fingerprint = fingerprints.of_request(call, body)
        while (left_s := self._left_s(call)) > 0:
            replies = await self._ask(call, left_s)
            for reply in replies:
                kept_answer = reply.answer
                if (
                    kept_answer is None
                    or kept_answer.fingerprint != fingerprint
                ):
                    continue
                if outcomes.Outcome(kept_answer.outcome) in _DECIDED_OUTCOMES:
                    return _create_answer(kept_answer)
            if not any(reply.running for reply in replies):
                break
            await asyncio.sleep(_POLL_S)
        return fallback

    async def _ask(
        self, call: calls.Call, left_s: float
    ) -> list[wire.InquiryReply]:
        daemons = [
            record.name
            for record in self._parts.directory.all()
            if record.service == call.service
        ]
        return await self._parts.inquirer.ask(
            call.request_id, daemons, min(_INQUIRY_TIMEOUT_S, left_s)
        )

    def _left_s(self, call: calls.Call) -> float:
        return call.deadline_s - self._parts.clock.now_s()


def _create_answer(kept_answer: wire.StoredAnswer) -> calls.Answer:
    return calls.Answer(
        status=kept_answer.status,
        headers=kept_answer.headers,
        outcome=outcomes.Outcome(kept_answer.outcome),
        reason=kept_answer.reason,
        retry_after_s=0.0,
        decided_by=kept_answer.decided_by,
        retries_spent=0,
        effects=True,
        threshold=calls.NO_THRESHOLD,
        body=bodies.WholeBody(kept_answer.data),
    )


def create_recovery(parts: Parts) -> Recovery:
    """Returns the recovery of a daemon."""
    return Recovery(parts)
