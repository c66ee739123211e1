"""Finds a backend server for a call, and another one while that is safe."""

import typing

from savorybend.internal import bodies
from savorybend.internal import calls
from savorybend.internal import choice
from savorybend.internal import forwarding
from savorybend.internal import members
from savorybend.internal import outcomes
from savorybend.internal import serving

# Refusals of one daemon that say nothing of the others.
_ELSEWHERE = frozenset(
    {
        outcomes.ELSEWHERE.name,
        outcomes.NO_BACKEND_SERVER.name,
        outcomes.BACKEND_SERVER_SHED.name,
    }
)


class Router:
    """Gives calls to daemons of their service."""

    def __init__(
        self,
        directory: members.Directory,
        tracker: choice.Tracker,
        local: serving.Serving,
        forwarder: forwarding.Forwarder,
    ):
        self._directory = directory
        self._tracker = tracker
        self._local = local
        self._forwarder = forwarder

    async def execute(
        self, call: calls.Call, body: bodies.Body
    ) -> calls.Answer:
        """Returns the call's answer, after as many tries as it may have."""
        tried: frozenset[str] = frozenset()
        spent = 0
        while True:
            record = self._choose(call, tried)
            match record:
                case members.Record():
                    pass
                case outcomes.Refuse():
                    return self._not_run(call, record, spent)
                case _:
                    return self._not_run(call, _nowhere(call), spent)
            left = call.retries - spent
            answer = await self._try(record, call._replace(retries=left), body)
            spent += answer.retries_spent
            tried |= {record.name}
            if (
                spent >= call.retries
                or not _again(answer, body)
                or not self._choose(call, tried)
            ):
                return answer._replace(retries_spent=spent)
            spent += 1

    def _choose(self, call: calls.Call, tried: frozenset[str]):
        return self._tracker.choose(
            choice.Question(
                self._directory.own,
                self._directory.serving(call.service),
                tried,
                call,
            )
        )

    async def _try(
        self, record: members.Record, call: calls.Call, body: bodies.Body
    ) -> calls.Answer:
        answer: calls.Answer | None = None
        given = self._tracker.started(record.name, call.route)
        try:
            answer = await self._target(record).execute(call, body)
            return answer
        finally:
            self._tracker.ended(given, answer)

    def _target(self, record: members.Record) -> calls.Target:
        if record.name == self._directory.own.name:
            return self._local
        return self._forwarder.target(record.name)

    def _not_run(
        self, call: calls.Call, refusal: outcomes.Refuse, spent: int
    ) -> calls.Answer:
        answer = calls.not_run(
            refusal, call.request_id, self._directory.own.name
        )
        return answer._replace(retries_spent=spent)


def _nowhere(call: calls.Call) -> outcomes.Refuse:
    return outcomes.refuse(
        outcomes.NO_BACKEND_SERVER,
        f"no daemon of service {call.service!r} takes new work",
    )


def _again(answer: calls.Answer, body: bodies.Body) -> bool:
    """Returns whether another daemon may be given the call."""
    return (
        answer.outcome is outcomes.Outcome.NOT_RUN
        and answer.reason in _ELSEWHERE
        and body.replayable
    )


class Parts(typing.NamedTuple):
    """What a router is made of."""

    directory: members.Directory
    tracker: choice.Tracker
    local: serving.Serving
    forwarder: forwarding.Forwarder


def create_router(parts: Parts) -> Router:
    """Returns a router that may serve calls on this VM itself."""
    return Router(*parts)
