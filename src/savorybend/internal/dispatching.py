"""Takes each call to the one place that may start it."""

import typing

from savorybend.internal import bodies
from savorybend.internal import calls
from savorybend.internal import fingerprints
from savorybend.internal import forwarding
from savorybend.internal import guard
from savorybend.internal import inquiries
from savorybend.internal import issuing
from savorybend.internal import members
from savorybend.internal import outcomes
from savorybend.internal import requestids
from savorybend.internal import timers
from savorybend.internal.wire import requests as wire

# A caller whose issuer is gone waits for the daemons of the service no longer
# than this; a daemon that says nothing counts as one that may have run it.
_LONGEST_INQUIRY_S = 1.0

_DECIDED = frozenset({outcomes.Outcome.RAN, outcomes.Outcome.PARTIAL})


class Parts(typing.NamedTuple):
    """What a dispatcher is made of.

    Attributes:
        clock: Tells what is left of a deadline.
        directory: The known daemons.
        issuer: Issues this daemon's IDs.
        guard: Starts the IDs of this daemon.
        router: Runs calls that need no guard.
        forwarder: Passes calls to the issuers of their IDs.
        inquirer: Asks about requests whose issuer is gone.
    """

    clock: timers.Clock
    directory: members.Directory
    issuer: issuing.Issuer
    guard: guard.Guard
    router: calls.Target
    forwarder: forwarding.Forwarder
    inquirer: inquiries.Inquirer


class Dispatcher:
    """Where calls go that entered at this daemon."""

    def __init__(self, parts: Parts):
        self._parts = parts

    @property
    def name(self) -> str:
        """The name of this daemon."""
        return self._parts.directory.own.name

    async def execute(
        self, call: calls.Call, body: bodies.Body
    ) -> calls.Answer:
        """Returns the call's answer."""
        # A child's ID was made for this one call on this daemon, so nobody
        # else can start it.
        if call.idempotent or call.depth > 0:
            return await self._parts.router.execute(call, body)
        parsed = requestids.parse(call.request_id)
        if self._parts.issuer.owns(parsed):
            return await self._parts.guard.execute(call, body)
        record = self._parts.directory.get(parsed.issuer)
        if record and record.incarnation == parsed.incarnation:
            return await self._pass_on(record.name, call, body)
        return await self._settle(call, body, outcomes.ISSUER_LOST)

    async def _pass_on(
        self, issuer: str, call: calls.Call, body: bodies.Body
    ) -> calls.Answer:
        answer = await self._parts.forwarder.execute(issuer, call, body)
        if answer.decided_by == issuer or not _own_word(answer):
            return answer
        if answer.reason == outcomes.ANSWER_LOST.name:
            return await self._settle(call, body, outcomes.ISSUER_LOST)
        if answer.outcome is outcomes.Outcome.NOT_RUN:
            # This sending didn't reach the issuer, but an earlier one may
            # have, so this is no proof that nothing ran.
            return self._unknown(call, outcomes.ISSUER_UNREACHABLE)
        return answer

    async def _settle(
        self, call: calls.Call, body: bodies.Body, reason: outcomes.Reason
    ) -> calls.Answer:
        """Returns what the daemons of the service know of a request.

        Their silence, and even their word that they never saw it, proves
        nothing: the issuer may have served it itself, a daemon that is gone
        may have run it, and an issuer that was only paused may yet start it.
        """
        left_s = call.deadline_s - self._parts.clock.now_s()
        timeout_s = max(0.0, min(_LONGEST_INQUIRY_S, left_s))
        daemons = [
            record.name
            for record in self._parts.directory.all()
            if record.service == call.service
        ]
        heard = await self._parts.inquirer.ask(
            call.request_id, daemons, timeout_s
        )
        for testimony in heard:
            if testimony.running:
                reason = outcomes.STILL_RUNNING
            kept = testimony.answer
            if kept is not None and outcomes.Outcome(kept.outcome) in _DECIDED:
                return self._replay(call, body, kept)
        return self._unknown(call, reason)

    def _replay(
        self, call: calls.Call, body: bodies.Body, kept: wire.KeptAnswer
    ) -> calls.Answer:
        if kept.fingerprint != fingerprints.of_request(call, body):
            return self._unknown(call, outcomes.REQUEST_ID_REUSED)
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

    def _unknown(
        self, call: calls.Call, reason: outcomes.Reason
    ) -> calls.Answer:
        return calls.explain(
            outcomes.Outcome.UNKNOWN,
            reason,
            call.request_id,
            self.name,
        )


class Doorway:
    """Where calls go that another daemon passed on."""

    def __init__(self, own: Dispatcher, local: calls.Target):
        self._own = own
        self._local = local

    async def execute(
        self, call: calls.Call, body: bodies.Body
    ) -> calls.Answer:
        """Returns the call's answer."""
        if not call.idempotent and call.depth == 0:
            parsed = requestids.parse(call.request_id)
            # A call for an earlier incarnation of this daemon is meant for
            # its guard too, and must not be taken for one to serve here.
            if parsed and parsed.issuer == self._own.name:
                return await self._own.execute(call, body)
        return await self._local.execute(call, body)


def _own_word(answer: calls.Answer) -> bool:
    """Returns whether the forwarder, not the issuer, may have answered."""
    return answer.outcome in {
        outcomes.Outcome.NOT_RUN,
        outcomes.Outcome.UNKNOWN,
    }


def create_dispatcher(parts: Parts) -> Dispatcher:
    """Returns the dispatcher of a daemon."""
    return Dispatcher(parts)


def create_doorway(own: Dispatcher, local: calls.Target) -> Doorway:
    """Returns where a daemon takes the calls that others pass on."""
    return Doorway(own, local)
