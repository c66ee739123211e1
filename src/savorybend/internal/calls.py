"""The call and answer types that daemons route, forward and execute."""

import typing

import msgspec

from savorybend.internal import bodies
from savorybend.internal import headers
from savorybend.internal import outcomes


class Call(typing.NamedTuple):
    """A call, without its body.

    Attributes:
        request_id: Names the request; a child call's ID extends its parent's.
        client_account: The client account whose key came with the request.
        route: Name of the route.
        service: Name of the service that serves the call.
        priority: 0 (shed last) to 9 (shed first); child calls inherit it.
        idempotent: Whether the call may run more than once.
        method: HTTP method.
        target: Path and query.
        headers: Headers that are passed on to the backend server.
        deadline_s: When the caller stops waiting, in seconds of this VM's
            clock.
        retries: Retries left for the call and its child calls together.
        depth: Number of ancestor calls; 0 for the root request.
        key_id: ID of the key that the root request came with; empty on a
            route open to all.
        repeatable: Whether the call may be made twice because its idempotent
            parent can be run again. Only the daemon that issued its ID starts
            such a call.
    """

    request_id: str
    client_account: str
    route: str
    service: str
    priority: int
    idempotent: bool
    method: str
    target: str
    headers: headers.Pairs
    deadline_s: float
    retries: int
    depth: int
    key_id: str = ""
    repeatable: bool = False


class Answer(typing.NamedTuple):
    """The answer to a call.

    Attributes:
        status: HTTP status.
        headers: Headers from the backend server.
        outcome: Whether the call ran.
        reason: Name of an `outcomes.Reason`, or empty.
        retry_after_s: Seconds after which the caller may try again.
        decided_by: Name of the daemon that decided the outcome.
        retries_spent: Retries used by the call and its child calls.
        effects: Whether the call or a child call of it that must not run twice
            was started.
        threshold: The deciding daemon's admission threshold; see
            `concurrency`.
        body: The body.
    """

    status: int
    headers: headers.Pairs
    outcome: outcomes.Outcome
    reason: str
    retry_after_s: float
    decided_by: str
    retries_spent: int
    effects: bool
    threshold: float
    body: bodies.Body


class Target(typing.Protocol):
    """Something that executes calls."""

    async def execute(self, call: Call, body: bodies.Body) -> Answer:
        """Returns the call's answer.

        The outcome is `not-run` only if nothing ran, and `unknown` where that
        can't be told.
        """


class _AnswerBody(msgspec.Struct):
    outcome: str
    reason: str
    detail: str
    remedy: str
    retry_after_s: float
    request_id: str


NO_THRESHOLD = 0.0


def create_own_answer(
    outcome: outcomes.Outcome,
    reason: outcomes.Reason,
    request_id: str,
    decided_by: str,
    *,
    detail: str = "",
    retry_after_s: float | None = None,
    retries_spent: int = 0,
    threshold: float = NO_THRESHOLD,
) -> Answer:
    """Returns an answer that savorybend creates itself.

    Args:
        outcome: Whether the call ran.
        reason: Sets the status, the remedy and the default retry delay.
        request_id: The request's ID.
        decided_by: Name of the daemon that decides the outcome.
        detail: What exactly went wrong.
        retry_after_s: Overrides the delay of the reason, in seconds.
        retries_spent: Retries used by the call and its child calls.
        threshold: The daemon's admission threshold.
    """
    if retry_after_s is None:
        retry_after_s = reason.retry_after_s
    answer_body = _AnswerBody(
        outcome.value,
        reason.name,
        detail,
        reason.remedy,
        retry_after_s,
        request_id,
    )
    return Answer(
        status=reason.status,
        headers=[("Content-Type", "application/json")],
        outcome=outcome,
        reason=reason.name,
        retry_after_s=retry_after_s,
        decided_by=decided_by,
        retries_spent=retries_spent,
        effects=outcome is outcomes.Outcome.UNKNOWN,
        threshold=threshold,
        body=bodies.WholeBody(msgspec.json.encode(answer_body)),
    )


def create_unknown_answer(
    reason: outcomes.Reason,
    request_id: str,
    decided_by: str,
    detail: str = "",
) -> Answer:
    """Returns the answer to a call that may have run, wholly or in part."""
    return create_own_answer(
        outcomes.Outcome.UNKNOWN,
        reason,
        request_id,
        decided_by,
        detail=detail,
    )


def create_not_run_answer(
    refusal: outcomes.Refuse,
    request_id: str,
    decided_by: str,
    threshold: float = NO_THRESHOLD,
) -> Answer:
    """Returns the answer to a call that was refused before anything ran."""
    return create_own_answer(
        outcomes.Outcome.NOT_RUN,
        refusal.reason,
        request_id,
        decided_by,
        detail=refusal.detail,
        retry_after_s=refusal.retry_after_s,
        threshold=threshold,
    )
