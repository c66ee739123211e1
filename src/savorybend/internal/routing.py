"""Finds a backend server for a call, and another one while that is safe."""

import typing

from savorybend.internal import bodies
from savorybend.internal import calls
from savorybend.internal import forwarding
from savorybend.internal import headers
from savorybend.internal import loadbalancing
from savorybend.internal import members
from savorybend.internal import outcomes
from savorybend.internal import retryratio
from savorybend.internal import serving

# Refusals of one daemon that say nothing of the others.
_ELSEWHERE = frozenset(
    {
        outcomes.ELSEWHERE.name,
        outcomes.NO_BACKEND_SERVER.name,
        outcomes.BACKEND_SERVER_SHED.name,
    }
)


_FIRST_SERVER_ERROR = 500


class _Tries:
    """The tries of one call."""

    __slots__ = (
        "call",
        "body",
        "spent",
        "tried",
        "answered",
        "answer",
        "last",
        "redirected",
        "_lent",
        "_lost",
    )

    def __init__(self, call: calls.Call, body: bodies.Body):
        self.call = call
        self.body = body
        self.spent = 0
        self.tried: frozenset[str] = frozenset()
        self.answered: frozenset[str] = frozenset()
        self.answer: calls.Answer | None = None
        self.last: calls.Answer | None = None
        self.redirected = False
        self._lent = 0
        self._lost = 0

    def next_call(self, remote: bool) -> calls.Call:
        """Returns the call with the retries that it may use.

        Args:
            remote: Whether another daemon will serve it.
        """
        left = self.call.retries - self.spent
        # A daemon that is lost doesn't say how many it used, so one is kept
        # back. The last one goes on, since where a chain fails is mostly
        # further down.
        if remote and self.call.idempotent and left > 1:
            left -= 1
        self._lent = left
        return self.call._replace(retries=left)

    def note(self, daemon: str, answer: calls.Answer) -> None:
        """Takes the answer of a try."""
        lost = _lost_daemon(answer)
        self.spent += self._lent if lost else answer.retries_spent
        self.tried |= {daemon}
        self.last = answer
        if answer.outcome is outcomes.Outcome.RAN:
            self.answered |= {daemon}
        if lost or answer.reason == outcomes.BACKEND_SERVER_LOST.name:
            self._lost += 1
        # "Not run" would be true of the last try alone.
        if self.answer is None or not _ran_nothing(answer):
            self.answer = answer

    def failed_here(self) -> bool:
        """Returns whether the daemon just tried failed, and may be repeated.

        Not where a daemon below has retried, where something was started that
        must not run twice, or where a second backend server or its VM was
        lost: the request itself may be what they died of.
        """
        answer = self.last
        if not self.call.idempotent:
            return False
        if _lost_daemon(answer):
            # Whatever it started that must not run twice is started again by
            # the issuer alone; see `children`.
            return self._lost == 1
        if answer.effects:
            return False
        if answer.retries_spent or answer.body.whole is None:
            return False
        if answer.outcome is outcomes.Outcome.RAN:
            return answer.status >= _FIRST_SERVER_ERROR
        lost = answer.reason == outcomes.BACKEND_SERVER_LOST.name
        return lost and self._lost == 1


class Router:
    """Gives calls to daemons of their service."""

    def __init__(
        self,
        directory: members.Directory,
        tracker: loadbalancing.LoadBalancer,
        local: serving.Serving,
        forwarder: forwarding.Forwarder,
    ):
        self._ratio = retryratio.create_retry_ratio()
        self._directory = directory
        self._tracker = tracker
        self._local = local
        self._forwarder = forwarder

    async def execute(
        self, call: calls.Call, body: bodies.Body
    ) -> calls.Answer:
        """Returns the call's answer, after as many tries as it may have."""
        self._ratio.note_call()
        tries = _Tries(call, body)
        named: members.Record | None = None
        while True:
            match named or self._choose(tries):
                case members.Record() as record:
                    remote = record.name != self._directory.own.name
                    call = tries.next_call(remote)
                    answer = await self._try(record, call, body)
                    tries.note(record.name, answer)
                case outcomes.Refuse() as refusal:
                    tries.note("", self._not_run(call, refusal))
                case _:
                    tries.note("", self._not_run(call, _nowhere(call)))
            named = self._redirect(tries)
            if named is not None:
                tries.redirected = True
                continue
            if not self._may_try_again(tries):
                return tries.answer._replace(retries_spent=tries.spent)
            tries.spent += 1

    def _may_try_again(self, tries: "_Tries") -> bool:
        if tries.spent >= tries.call.retries or not tries.body.replayable:
            return False
        if _ran_nothing(tries.last):
            elsewhere = tries.last.reason in _ELSEWHERE
            return elsewhere and self._has_another(tries)
        if not tries.failed_here():
            return False
        return self._has_another(tries) and self._ratio.take()

    def _redirect(self, tries: "_Tries") -> members.Record | None:
        """Returns the daemon that the last one names in its place.

        Nothing ran, and it happens once, so it costs no retry.
        """
        if tries.last is None or tries.redirected or not tries.body.replayable:
            return None
        named = dict(tries.last.headers).get(headers.TRIED_BY, "")
        if tries.last.reason != outcomes.SUSPECT.name or named in tries.tried:
            return None
        return self._directory.get(named) or None

    def _has_another(self, tries: "_Tries") -> bool:
        return isinstance(self._choose(tries), members.Record)

    def _choose(self, tries: "_Tries"):
        found = self._choose_among(tries.call, tries.tried)
        if not found and tries.answered:
            # One that answered with an error is better than none.
            return self._choose_among(tries.call, tries.tried - tries.answered)
        return found

    def _choose_among(self, call: calls.Call, tried: frozenset[str]):
        return self._tracker.choose(
            loadbalancing.Selection(
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
        self, call: calls.Call, refusal: outcomes.Refuse
    ) -> calls.Answer:
        return calls.create_not_run_answer(
            refusal, call.request_id, self._directory.own.name
        )


def _nowhere(call: calls.Call) -> outcomes.Refuse:
    return outcomes.refuse(
        outcomes.NO_BACKEND_SERVER,
        f"no daemon of service {call.service!r} takes new work",
    )


def _lost_daemon(answer: calls.Answer) -> bool:
    return answer.reason == outcomes.ANSWER_LOST.name


def _ran_nothing(answer: calls.Answer) -> bool:
    return answer.outcome is outcomes.Outcome.NOT_RUN


class Parts(typing.NamedTuple):
    """What a router is made of."""

    directory: members.Directory
    tracker: loadbalancing.LoadBalancer
    local: serving.Serving
    forwarder: forwarding.Forwarder


def create_router(parts: Parts) -> Router:
    """Returns a router that may serve calls on this VM itself."""
    return Router(*parts)
