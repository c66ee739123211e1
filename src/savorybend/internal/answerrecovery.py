"""Fetches by its ID the answer of a request that was lost on the way."""

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

# A daemon that says nothing for so long counts as one that may have run the
# request; the caller gets its answer then and not at its deadline.
_LONGEST_INQUIRY_S = 1.0
# How often a daemon is asked where the request still runs.
_POLL_S = 0.1

_DECIDED = frozenset({outcomes.Outcome.RAN, outcomes.Outcome.PARTIAL})


class Parts(typing.NamedTuple):
    """What a recovery is made of."""

    clock: timers.Clock
    directory: members.Directory
    inquirer: inquiries.Inquirer


class Recovery:
    """Asks the daemons of a service for an answer."""

    def __init__(self, parts: Parts):
        self._parts = parts

    async def fetch(
        self, call: calls.Call, body: bodies.Body, otherwise: calls.Answer
    ) -> calls.Answer:
        """Returns the request's answer, or `otherwise` if nobody has it.

        That nobody has it proves nothing: the issuer may have served it
        itself, a daemon that is gone may have run it, and an issuer that was
        only paused may yet start it. So `otherwise` says `unknown`.
        """
        fingerprint = fingerprints.of_request(call, body)
        while (left_s := self._left_s(call)) > 0:
            heard = await self._ask(call, left_s)
            for reply in heard:
                kept = reply.answer
                if kept is None or kept.fingerprint != fingerprint:
                    continue
                if outcomes.Outcome(kept.outcome) in _DECIDED:
                    return _replay(kept)
            if not any(reply.running for reply in heard):
                break
            await asyncio.sleep(_POLL_S)
        return otherwise

    async def _ask(
        self, call: calls.Call, left_s: float
    ) -> list[wire.InquiryReply]:
        daemons = [
            record.name
            for record in self._parts.directory.all()
            if record.service == call.service
        ]
        return await self._parts.inquirer.ask(
            call.request_id, daemons, min(_LONGEST_INQUIRY_S, left_s)
        )

    def _left_s(self, call: calls.Call) -> float:
        return call.deadline_s - self._parts.clock.now_s()


def _replay(kept: wire.KeptAnswer) -> calls.Answer:
    return calls.Answer(
        status=kept.status,
        headers=kept.headers,
        outcome=outcomes.Outcome(kept.outcome),
        reason=kept.reason,
        retry_after_s=0.0,
        decided_by=kept.decided_by,
        retries_spent=0,
        effects=True,
        threshold=calls.NO_THRESHOLD,
        body=bodies.WholeBody(kept.data),
    )


def create_recovery(parts: Parts) -> Recovery:
    """Returns the recovery of a daemon."""
    return Recovery(parts)
