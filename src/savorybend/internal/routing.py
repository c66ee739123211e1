"""Routes calls to daemons, and retries them on others while that is safe."""

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

# Reasons of refusals that another daemon of the service may not share.
_DAEMON_SPECIFIC = frozenset(
    {
        outcomes.ELSEWHERE.name,
        outcomes.NO_BACKEND_SERVER.name,
        outcomes.BACKEND_SERVER_SHED.name,
    }
)


_FIRST_SERVER_ERROR = 500


class _Attempts:
    """State of the attempts of one call."""

    __slots__ = (
        "call",
        "body",
        "spent",
        "tried",
        "answered",
        "answer",
        "last_answer",
        "redirected",
        "_granted",
        "_losses",
    )

    def __init__(self, call: calls.Call, body: bodies.Body):
        self.call = call
        self.body = body
        self.spent = 0
        self.tried: frozenset[str] = frozenset()
        self.answered: frozenset[str] = frozenset()
        self.answer: calls.Answer | None = None
        self.last_answer: calls.Answer | None = None
        self.redirected = False
        self._granted = 0
        self._losses = 0

    def next_call(self, remote: bool) -> calls.Call:
        """Returns the call with the retries that the next attempt may use.

        Args:
            remote: Whether another daemon will serve it.
        """
        left = self.call.retries - self.spent
        # A lost daemon doesn't report how many retries it used, so all that it
        # was granted count as used; one is kept back for the attempt that
        # replaces it. The last retry is passed on all the same, since a chain
        # of calls mostly fails further down.
        if remote and self.call.idempotent and left > 1:
            left -= 1
        self._granted = left
        return self.call._replace(retries=left)

    def note(self, daemon: str, answer: calls.Answer) -> None:
        """Records the answer of an attempt."""
        lost = _is_daemon_lost(answer)
        self.spent += self._granted if lost else answer.retries_spent
        self.tried |= {daemon}
        self.last_answer = answer
        if answer.outcome is outcomes.Outcome.RAN:
            self.answered |= {daemon}
        if lost or answer.reason == outcomes.BACKEND_SERVER_LOST.name:
            self._losses += 1
        # A not-run answer describes this attempt only; an earlier attempt may
        # have run.
        if self.answer is None or not _is_not_run(answer):
            self.answer = answer

    def is_repeatable(self) -> bool:
        """Returns whether the last attempt failed and may be repeated.

        It may not be where a daemon further down has retried, where something
        was started that must not run twice, or where a second backend server
        or its VM was lost: the request itself may have crashed them.
        """
        answer = self.last_answer
        if not self.call.idempotent:
            return False
        if _is_daemon_lost(answer):
            # Child calls that must not run twice are started by the issuer of
            # the request's ID only, which starts each once; see `childcalls`.
            return self._losses == 1
        if answer.effects:
            return False
        if answer.retries_spent or answer.body.whole is None:
            return False
        if answer.outcome is outcomes.Outcome.RAN:
            return answer.status >= _FIRST_SERVER_ERROR
        lost = answer.reason == outcomes.BACKEND_SERVER_LOST.name
        return lost and self._losses == 1


class Router:
    """Sends calls to daemons of their service."""

    def __init__(
        self,
        directory: members.Directory,
        load_balancer: loadbalancing.LoadBalancer,
        local: serving.Serving,
        forwarder: forwarding.Forwarder,
    ):
        self._retry_ratio = retryratio.create_retry_ratio()
        self._directory = directory
        self._load_balancer = load_balancer
        self._local = local
        self._forwarder = forwarder

    async def execute(
        self, call: calls.Call, body: bodies.Body
    ) -> calls.Answer:
        """Returns the call's answer, after at most `call.retries` retries."""
        self._retry_ratio.note_call()
        attempts = _Attempts(call, body)
        redirect: members.Record | None = None
        while True:
            match redirect or self._choose(attempts):
                case members.Record() as record:
                    remote = record.name != self._directory.own.name
                    call = attempts.next_call(remote)
                    answer = await self._attempt(record, call, body)
                    attempts.note(record.name, answer)
                case outcomes.Refuse() as refusal:
                    attempts.note("", self._not_run(call, refusal))
                case _:
                    attempts.note("", self._not_run(call, _no_daemon(call)))
            redirect = self._redirect(attempts)
            if redirect is not None:
                attempts.redirected = True
                continue
            if not self._may_retry(attempts):
                return attempts.answer._replace(retries_spent=attempts.spent)
            attempts.spent += 1

    def _may_retry(self, attempts: "_Attempts") -> bool:
        if (
            attempts.spent >= attempts.call.retries
            or not attempts.body.replayable
        ):
            return False
        if _is_not_run(attempts.last_answer):
            may_differ = attempts.last_answer.reason in _DAEMON_SPECIFIC
            return may_differ and self._has_candidate(attempts)
        if not attempts.is_repeatable():
            return False
        return self._has_candidate(attempts) and self._retry_ratio.take()

    def _redirect(self, attempts: "_Attempts") -> members.Record | None:
        """Returns the daemon that the last answer redirects the call to.

        A redirect costs no retry, since nothing ran and only one is followed.
        """
        if (
            attempts.last_answer is None
            or attempts.redirected
            or not attempts.body.replayable
        ):
            return None
        name = dict(attempts.last_answer.headers).get(headers.TRIED_BY, "")
        if (
            attempts.last_answer.reason != outcomes.SUSPECT.name
            or name in attempts.tried
        ):
            return None
        return self._directory.get(name) or None

    def _has_candidate(self, attempts: "_Attempts") -> bool:
        return isinstance(self._choose(attempts), members.Record)

    def _choose(self, attempts: "_Attempts"):
        chosen = self._choose_among(attempts.call, attempts.tried)
        if not chosen and attempts.answered:
            # No untried daemon is left; one that answered with an error may
            # succeed now.
            return self._choose_among(
                attempts.call, attempts.tried - attempts.answered
            )
        return chosen

    def _choose_among(self, call: calls.Call, tried: frozenset[str]):
        return self._load_balancer.choose(
            loadbalancing.Selection(
                self._directory.own,
                self._directory.serving(call.service),
                tried,
                call,
            )
        )

    async def _attempt(
        self, record: members.Record, call: calls.Call, body: bodies.Body
    ) -> calls.Answer:
        answer: calls.Answer | None = None
        started = self._load_balancer.started(record.name, call.route)
        try:
            answer = await self._target(record).execute(call, body)
            return answer
        finally:
            self._load_balancer.ended(started, answer)

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


def _no_daemon(call: calls.Call) -> outcomes.Refuse:
    return outcomes.refuse(
        outcomes.NO_BACKEND_SERVER,
        f"no daemon of service {call.service!r} takes new work",
    )


def _is_daemon_lost(answer: calls.Answer) -> bool:
    return answer.reason == outcomes.ANSWER_LOST.name


def _is_not_run(answer: calls.Answer) -> bool:
    return answer.outcome is outcomes.Outcome.NOT_RUN


class Parts(typing.NamedTuple):
    """Dependencies of a router."""

    directory: members.Directory
    load_balancer: loadbalancing.LoadBalancer
    local: serving.Serving
    forwarder: forwarding.Forwarder


def create_router(parts: Parts) -> Router:
    """Returns a router over the daemons of the directory and this VM."""
    return Router(*parts)
