"""Outcomes of requests and the reasons reported to callers."""

import dataclasses
import enum
import typing


class Outcome(enum.StrEnum):
    """Outcome of a request.

    `UNKNOWN` is reported only if no remaining process can know the outcome.
    """

    RAN = "ran"
    NOT_RUN = "not-run"
    PARTIAL = "partial"
    UNKNOWN = "unknown"


class Reason(typing.NamedTuple):
    """Why a request was refused or its outcome is unknown.

    Attributes:
        name: Value of the Savorybend-Reason header.
        status: HTTP status of the answer.
        remedy: Advice to the caller, in the body of the answer.
        retry_after_s: When to retry, in seconds; zero if the caller shouldn't.
    """

    name: str
    status: int
    remedy: str
    retry_after_s: float = 0.0


KEY_MISSING = Reason(
    "key-missing", 401, "send the key as 'Authorization: Bearer KEY'"
)
KEY_UNKNOWN = Reason(
    "key-unknown", 401, "the key is wrong or withdrawn: ask for a new one"
)
HANDLE_UNKNOWN = Reason(
    "handle-unknown", 401, "make child calls only while the request runs"
)
ROUTE_UNKNOWN = Reason(
    "route-unknown", 404, "call a method and path that a route has"
)
HEADER_INVALID = Reason("header-invalid", 400, "mend the header and send again")
REQUEST_INVALID = Reason(
    "request-invalid", 400, "send well-formed HTTP within the size limits"
)
REQUEST_ID_MISSING = Reason(
    "request-id-missing",
    428,
    "get an ID from /savorybend/v1/request-ids and send it with the request",
)
REQUEST_ID_INVALID = Reason(
    "request-id-invalid", 400, "send an ID that a daemon issued to you"
)
REQUEST_ID_REUSED = Reason(
    "request-id-reused", 409, "send each new request under a new ID"
)
STILL_RUNNING = Reason(
    "still-running", 409, "send it again under the same ID", 1.0
)
ANSWER_NOT_KEPT = Reason(
    "answer-not-kept", 410, "it is over, and its answer isn't kept any more"
)
RECORD_GONE = Reason(
    "record-gone", 410, "its record isn't kept any more: look at its effect"
)
ISSUER_LOST = Reason(
    "issuer-lost", 502, "look at its effect; it is never started again"
)
ISSUER_UNREACHABLE = Reason(
    "issuer-unreachable", 503, "send it again under the same ID", 1.0
)
BODY_LOST = Reason("body-lost", 400, "the request's body broke off")
BODY_TOO_LARGE = Reason("body-too-large", 413, "send a smaller body")
TOO_LATE = Reason("too-late", 504, "give the request a longer timeout")
LIMITED = Reason(
    "limited", 429, "the client account is over its rate: slow down", 1.0
)
OVERLOADED = Reason("overloaded", 503, "come back later", 1.0)
NO_BACKEND_SERVER = Reason(
    "no-backend-server", 503, "no backend server can take it now", 1.0
)
ELSEWHERE = Reason("elsewhere", 503, "this VM is leaving: try another", 0.1)
NOT_CONFIGURED = Reason(
    "not-configured", 503, "the daemon has no configuration yet", 1.0
)
CONFIGURATION_OLD = Reason(
    "configuration-old", 503, "the data centre is cut off from news", 5.0
)
RETRIES_SPENT = Reason(
    "retries-spent", 503, "the request has used up its retries", 1.0
)
QUARANTINED = Reason(
    "quarantined", 422, "the request crashes backend servers: change it"
)
SUSPECT = Reason(
    "suspect",
    503,
    "a backend server died under the same content, which one daemon tries "
    "again: come back later",
    1.0,
)
NEVER_SEEN = Reason(
    "never-seen", 410, "nothing ran under this ID: take a new one"
)
BACKEND_SERVER_LOST = Reason(
    "backend-server-lost", 502, "ask about the request by its ID"
)
ANSWER_LOST = Reason("answer-lost", 502, "ask about the request by its ID")
BACKEND_SERVER_SHED = Reason(
    "backend-server-shed", 503, "the backend server refused it", 1.0
)
CANCELLED = Reason("cancelled", 499, "the caller left")
INTERNAL = Reason("internal", 500, "report it with the request's ID")


@dataclasses.dataclass(frozen=True, slots=True)
class Admit:
    """The request is admitted."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """The request is refused before anything has run.

    Attributes:
        reason: Why.
        retry_after_s: When the caller may retry, in seconds.
        detail: What was wrong with this request, for the answer's body.
        tried_by: Name of the daemon that runs it instead; empty for any.
    """

    reason: Reason
    retry_after_s: float = 0.0
    detail: str = ""
    tried_by: str = ""


Verdict = Admit | Refuse

ADMIT = Admit()


def refuse(reason: Reason, detail: str = "") -> Refuse:
    """Returns a refusal with the reason's own retry time."""
    return Refuse(reason, reason.retry_after_s, detail)
