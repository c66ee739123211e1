"""Determines the verdict on a request from the daemons' responses."""

import dataclasses
import typing

from savorybend.internal import requestids

# Outcomes in order of precedence. The backend server's answer takes precedence
# over "unknown" from a daemon that lost the answer on its way back.
_WEIGHT = ("ran", "partial", "unknown", "not-run")


class Responses(typing.NamedTuple):
    """The daemons' responses about a request.

    Attributes:
        knowledge: Each daemon's `requestpages.Knowledge`, by daemon name.
        silent: Names of the daemons that did not respond.
        incarnations: Current incarnations of the known daemons, by name.
    """

    knowledge: dict[str, dict]
    silent: list[str]
    incarnations: dict[str, int]

    @property
    def entries(self) -> list[dict]:
        """The journal entries of the issuer and of the serving daemons."""
        found = (each["entry"] for each in self.knowledge.values())
        return [entry for entry in found if entry]


@dataclasses.dataclass(frozen=True)
class Known:
    """The request's outcome is known."""

    outcome: str
    reason: str


@dataclasses.dataclass(frozen=True)
class Running:
    """The request is in flight."""


@dataclasses.dataclass(frozen=True)
class NeverSeen:
    """The request was never started."""

    why: str


@dataclasses.dataclass(frozen=True)
class VmLost:
    """The issuer's VM was lost, and the other responses are not conclusive."""

    vm: str


@dataclasses.dataclass(frozen=True)
class Undetermined:
    """The responses do not determine the outcome."""

    why: str


Verdict = Known | Running | NeverSeen | VmLost | Undetermined


def determine_verdict(request_id: str, responses: Responses) -> Verdict:
    """Returns the verdict on a request that follows from the responses."""
    parsed = requestids.parse(request_id)
    if not parsed:
        return NeverSeen(parsed.reason)
    best = _best(responses)
    if best is not None and best.outcome in ("ran", "partial"):
        return best
    if any(each["running"] for each in responses.knowledge.values()):
        return Running()
    if responses.incarnations.get(parsed.issuer) != parsed.incarnation:
        # Another daemon's refusal is not conclusive: the lost daemon may have
        # sent the request to a further daemon.
        return VmLost(parsed.issuer)
    return (
        _find_issuer_outcome(parsed, responses)
        or best
        or _infer_from_issuer(parsed, responses)
    )


def precedence(outcome: str) -> int:
    """Returns an outcome's precedence; 0 is the highest."""
    return _WEIGHT.index(outcome)


def describe(verdict: Verdict) -> str:
    """Returns a verdict as one line for a support engineer."""
    match verdict:
        case Known(outcome="not-run", reason=reason):
            return f"refused, nothing ran ({reason})"
        case Known(outcome="partial"):
            return "answered in part"
        case Known(outcome=outcome, reason=reason):
            return f"{outcome} ({reason})" if reason else outcome
        case Running():
            return "in flight"
        case NeverSeen(why=why):
            return f"never seen ({why})"
        case VmLost(vm=vm):
            return f"can't be known: its VM was lost ({vm}); see its effect"
        case Undetermined(why=why):
            return f"not known ({why})"


def _best(responses: Responses) -> Known | None:
    found = [
        Known(entry["outcome"], entry["reason"])
        for entry in responses.entries
        if entry["outcome"]
    ]
    return min(found, key=lambda known: precedence(known.outcome), default=None)


def _find_issuer_outcome(
    parsed: requestids.RequestId, responses: Responses
) -> Known | None:
    """Returns the outcome in the journal of the request's issuer, if any."""
    entry = responses.knowledge.get(parsed.issuer, {}).get("entry")
    if entry and entry["outcome"]:
        return Known(entry["outcome"], entry["reason"])
    return None


def _infer_from_issuer(
    parsed: requestids.RequestId, responses: Responses
) -> Verdict:
    issuer = responses.knowledge.get(parsed.issuer)
    if issuer is None:
        return Undetermined(f"its issuer {parsed.issuer} gave no answer")
    match issuer["standing"]:
        case "unused":
            return NeverSeen("the ID was issued and not used")
        case "never-issued":
            return NeverSeen("the ID was never issued")
        case _ if responses.entries:
            return Running()
        case _:
            return Undetermined(
                "it was started; the journals kept newer requests"
            )
