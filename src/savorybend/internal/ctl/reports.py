"""Puts together what the daemons know of one request."""

import dataclasses
import typing

from savorybend.internal import requestids

# An outcome further left stands, whatever else was said: the backend server's
# answer outweighs the doubt of a daemon that lost it on the way.
_WEIGHT = ("ran", "partial", "unknown", "not-run")


class Responses(typing.NamedTuple):
    """What the daemons said.

    Attributes:
        knowledge: What each daemon knows, by its name; see `requestpages`.
        silent: Names of the daemons that gave no answer.
        incarnations: Of the daemons that are known, by name.
    """

    knowledge: dict[str, dict]
    silent: list[str]
    incarnations: dict[str, int]

    @property
    def entries(self) -> list[dict]:
        """The journals' entries, those of issuers and servers alike."""
        found = (each["entry"] for each in self.knowledge.values())
        return [entry for entry in found if entry]


@dataclasses.dataclass(frozen=True)
class Known:
    """The request has an outcome that stands."""

    outcome: str
    reason: str


@dataclasses.dataclass(frozen=True)
class Running:
    """The request is in flight."""


@dataclasses.dataclass(frozen=True)
class NeverSeen:
    """Its issuer says that it was never started."""

    why: str


@dataclasses.dataclass(frozen=True)
class VmLost:
    """A VM that could know is gone, and what is left doesn't settle it."""

    vm: str


@dataclasses.dataclass(frozen=True)
class Undetermined:
    """Nobody that answered knows."""

    why: str


Verdict = Known | Running | NeverSeen | VmLost | Undetermined


def determine_verdict(request_id: str, heard: Responses) -> Verdict:
    """Returns what became of a request, as far as it can be known."""
    parsed = requestids.parse(request_id)
    if not parsed:
        return NeverSeen(parsed.reason)
    best = _best(heard)
    if best is not None and best.outcome in ("ran", "partial"):
        return best
    if any(each["running"] for each in heard.knowledge.values()):
        return Running()
    if heard.incarnations.get(parsed.issuer) != parsed.incarnation:
        # A refusal elsewhere is no proof: the lost VM may have gone on.
        return VmLost(parsed.issuer)
    return _issuers_word(parsed, heard) or best or _by_issuer(parsed, heard)


def precedence(outcome: str) -> int:
    """Returns how much an outcome counts; the least number stands."""
    return _WEIGHT.index(outcome)


def describe(story: Verdict) -> str:
    """Returns a story as one line for a support engineer."""
    match story:
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


def _best(heard: Responses) -> Known | None:
    found = [
        Known(entry["outcome"], entry["reason"])
        for entry in heard.entries
        if entry["outcome"]
    ]
    return min(found, key=lambda known: precedence(known.outcome), default=None)


def _issuers_word(
    parsed: requestids.RequestId, heard: Responses
) -> Known | None:
    """Returns the outcome that the one daemon which could start it knows."""
    entry = heard.knowledge.get(parsed.issuer, {}).get("entry")
    if entry and entry["outcome"]:
        return Known(entry["outcome"], entry["reason"])
    return None


def _by_issuer(parsed: requestids.RequestId, heard: Responses) -> Verdict:
    issuer = heard.knowledge.get(parsed.issuer)
    if issuer is None:
        return Undetermined(f"its issuer {parsed.issuer} gave no answer")
    match issuer["standing"]:
        case "unused":
            return NeverSeen("the ID was issued and not used")
        case "never-issued":
            return NeverSeen("the ID was never issued")
        case _ if heard.entries:
            return Running()
        case _:
            return Undetermined(
                "it was started; the journals kept newer requests"
            )
