"""Dispatches each call to the component that may start it."""

import typing

from savorybend.internal import answerrecovery
from savorybend.internal import bodies
from savorybend.internal import calls
from savorybend.internal import childcalls
from savorybend.internal import departures
from savorybend.internal import errors
from savorybend.internal import forwarding
from savorybend.internal import guard
from savorybend.internal import issuing
from savorybend.internal import members
from savorybend.internal import outcomes
from savorybend.internal import requestids


class Parts(typing.NamedTuple):
    """Dependencies of a dispatcher.

    Attributes:
        directory: The known daemons.
        issuer: Issues this daemon's IDs.
        guard: Starts each request with an ID of this daemon once.
        children: Starts each child call of requests that entered here once.
        router: Runs calls that need no deduplication.
        forwarder: Forwards calls to the issuers of their IDs.
        recovery: Fetches the answers of requests whose issuer is gone.
        departures: Statements of issuers that shut down in good order about
            their unused IDs.
    """

    directory: members.Directory
    issuer: issuing.Issuer
    guard: guard.Guard
    children: childcalls.ChildCalls
    router: calls.Target
    forwarder: forwarding.Forwarder
    recovery: answerrecovery.Recovery
    departures: departures.Departures


class Dispatcher:
    """Dispatches the calls that entered at this daemon."""

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
        # The ID of a child call was generated on this daemon for this call, so
        # no other daemon can start it unless its parent is run again there.
        is_own_child = call.depth > 0 and not call.repeatable
        if call.idempotent or is_own_child:
            return await self._parts.router.execute(call, body)
        parsed = requestids.parse(call.request_id)
        if self._parts.issuer.owns(parsed):
            return await self.start(call, body)
        record = self._parts.directory.get(parsed.issuer)
        if record and record.incarnation == parsed.incarnation:
            return await self._forward(record.name, call, body)
        if self._parts.departures.proves_unused(parsed, call.client_account):
            refusal = outcomes.refuse(outcomes.NEVER_SEEN)
            return calls.create_not_run_answer(
                refusal, call.request_id, self.name
            )
        return await self._recover(call, body, outcomes.ISSUER_LOST)

    async def start(self, call: calls.Call, body: bodies.Body) -> calls.Answer:
        """Returns the answer of a call that only this daemon may start."""
        if call.depth > 0:
            return await self._parts.children.execute(call, body)
        return await self._parts.guard.execute(call, body)

    async def _forward(
        self, issuer: str, call: calls.Call, body: bodies.Body
    ) -> calls.Answer:
        try:
            answer = await self._parts.forwarder.send(issuer, call, body)
        except errors.PeerUnreachableError:
            # This attempt didn't reach the issuer, but an earlier one may have,
            # so it isn't known that nothing ran.
            return calls.create_unknown_answer(
                outcomes.ISSUER_UNREACHABLE, call.request_id, self.name
            )
        own = answer.decided_by == self.name
        if own and answer.reason == outcomes.ANSWER_LOST.name:
            return await self._recover(call, body, outcomes.ANSWER_LOST)
        return answer

    async def _recover(
        self, call: calls.Call, body: bodies.Body, reason: outcomes.Reason
    ) -> calls.Answer:
        fallback = calls.create_unknown_answer(
            reason, call.request_id, self.name
        )
        return await self._parts.recovery.fetch(call, body, fallback)


class PeerCallDispatcher:
    """Dispatches the calls that another daemon forwarded."""

    def __init__(self, own: Dispatcher, local: calls.Target):
        self._own = own
        self._local = local

    async def execute(
        self, call: calls.Call, body: bodies.Body
    ) -> calls.Answer:
        """Returns the call's answer."""
        if not call.idempotent and (call.depth == 0 or call.repeatable):
            parsed = requestids.parse(call.request_id)
            # This includes IDs from an earlier incarnation of this daemon:
            # serving such a call here directly could run it twice.
            if parsed and parsed.issuer == self._own.name:
                return await self._own.execute(call, body)
        return await self._local.execute(call, body)


def create_dispatcher(parts: Parts) -> Dispatcher:
    """Returns the dispatcher of a daemon."""
    return Dispatcher(parts)


def create_peer_call_dispatcher(
    own: Dispatcher, local: calls.Target
) -> PeerCallDispatcher:
    """Returns the dispatcher of calls that peers forward.

    Args:
        own: Dispatches calls whose ID this daemon issued.
        local: Serves all other calls on this VM.
    """
    return PeerCallDispatcher(own, local)
