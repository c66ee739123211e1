"""A call on its way through the graph, and its answer."""

import typing

import msgspec

from savorybend.internal import bodies
from savorybend.internal import headers
from savorybend.internal import outcomes


class Call(typing.NamedTuple):
    """A call, without its body.

    Attributes:
        request_id: Names the request; a child call's ID extends its parent's.
        client_account: Whose key the request came with.
        route: The route's name.
        service: The service that answers.
        priority: 0 is shed last, 9 first; inherited from the entering request.
        idempotent: Whether it may run more than once.
        method: HTTP method.
        target: Path and query.
        headers: Headers that go on to the backend server.
        deadline_s: When the caller stops waiting, on this VM's clock.
        retries: Retries left for it and everything behind it.
        depth: Calls between it and the caller; 0 for the entering request.
        key_id: Names the key that the entering request came with; empty on a
            route open to all.
        repeatable: Whether it must be started by the daemon that issued its
            ID, since the call that made it may be run again and make it twice.
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
    """An answer.

    Attributes:
        status: HTTP status.
        headers: Headers from the backend server.
        outcome: What became of the call.
        reason: Name of an `outcomes.Reason`, or empty.
        retry_after_s: When the caller may come back, in seconds.
        decided_by: Name of the daemon that decided the outcome.
        retries_spent: Retries that the call and those behind it used.
        effects: Whether a call that must not run twice was started behind it.
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
    """Something that a call can be given to."""

    async def execute(self, call: Call, body: bodies.Body) -> Answer:
        """Returns the call's answer; it always has a true outcome."""


class _Explanation(msgspec.Struct):
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
    """Returns an answer that savorybend gives itself."""
    if retry_after_s is None:
        retry_after_s = reason.retry_after_s
    explanation = _Explanation(
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
        body=bodies.WholeBody(msgspec.json.encode(explanation)),
    )


def create_unknown_answer(
    reason: outcomes.Reason,
    request_id: str,
    decided_by: str,
    detail: str = "",
) -> Answer:
    """Returns the answer to a call of which something may have run."""
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
