"""What one daemon sees of another one: load, latency, faults, thresholds."""

import typing

from savorybend.internal import calls
from savorybend.internal import outcomes

_SUSPECT_AFTER = 3
_SHORTEST_SUSPICION_S = 0.5
_LONGEST_SUSPICION_S = 8.0
_SLOW_START_S = 5.0
_SLOW_START_PART = 0.1
_NEWEST_PART = 0.2
# Assumed until a daemon has answered, so that it is tried.
_FIRST_LATENCY_S = 0.001
# A threshold that no reply confirms for a while fades, in levels a second.
_CONFIRMED_S = 1.0
_FADING_PER_S = 2.0
# Refusing a route altogether would cut off the replies that say the overload
# is over, so one call is let through so often.
_PROBE_S = 0.5
# A daemon that shed a call of a route is passed over for the route's others.
_SHED_S = 0.5
# Calls of one route don't all meet the overloaded service, so a lower
# threshold is believed by and by.
_RELIEF_PART = 0.5

_FAULTS = frozenset(
    {
        outcomes.BACKEND_SERVER_LOST.name,
        outcomes.ANSWER_LOST.name,
        outcomes.NO_BACKEND_SERVER.name,
    }
)


class _Heard(typing.NamedTuple):
    """A threshold that came on a reply.

    Attributes:
        threshold: See `admission`.
        at_s: When it came.
        probe_s: When a call was last let through in spite of it.
    """

    threshold: float
    at_s: float
    probe_s: float = 0.0

    def faded(self, now_s: float) -> float:
        """Returns what is left of it."""
        age_s = max(0.0, now_s - self.at_s - _CONFIRMED_S)
        return max(calls.NO_THRESHOLD, self.threshold - age_s * _FADING_PER_S)


class PeerLoad:
    """What is seen of one daemon from here."""

    __slots__ = (
        "_failures",
        "_first_s",
        "_latency_s",
        "_shed_s",
        "_suspect_until_s",
        "_thresholds",
        "in_flight",
    )

    def __init__(self, first_s: float):
        self._first_s = first_s
        self._latency_s = _FIRST_LATENCY_S
        self._failures = 0
        self._suspect_until_s = 0.0
        self._thresholds: dict[str, _Heard] = {}
        self._shed_s: dict[str, float] = {}
        self.in_flight = 0

    def note_threshold(
        self, answer: calls.Answer, route: str, now_s: float
    ) -> None:
        """Takes the threshold on a reply, and whether it is a refusal.

        Args:
            answer: The reply.
            route: The route of the call.
            now_s: The time.
        """
        threshold = answer.threshold
        known = self.threshold(route, now_s)
        if threshold < known:
            threshold = known - (known - threshold) * _RELIEF_PART
        self._thresholds[route] = _Heard(threshold, now_s)
        if answer.reason == outcomes.OVERLOADED.name:
            self._shed_s[route] = now_s

    def shed_recently(self, route: str, now_s: float) -> bool:
        """Returns whether the daemon refused a call of a route just now."""
        shed_s = self._shed_s.get(route)
        return shed_s is not None and now_s < shed_s + _SHED_S

    def threshold(self, route: str, now_s: float) -> float:
        """Returns the threshold that the daemon is taken to have now."""
        heard = self._thresholds.get(route)
        return calls.NO_THRESHOLD if heard is None else heard.faded(now_s)

    def take_probe(self, route: str, now_s: float) -> bool:
        """Returns whether a call that would be refused is let through.

        It is when no call of the route was answered for a while, and no
        other one was let through meanwhile.
        """
        heard = self._thresholds.get(route)
        if heard is None or now_s < max(heard.at_s, heard.probe_s) + _PROBE_S:
            return False
        self._thresholds[route] = heard._replace(probe_s=now_s)
        return True

    def note_outcome(
        self, answer: calls.Answer, seconds: float, now_s: float
    ) -> None:
        """Takes an answer into account.

        Args:
            answer: The answer.
            seconds: How long the daemon had the call.
            now_s: The time.
        """
        if answer.reason in _FAULTS:
            self._fault(now_s)
        elif answer.outcome is not outcomes.Outcome.NOT_RUN:
            self._failures = 0
            # A refusal is quick, and must not make its daemon look fast.
            self._latency_s += (seconds - self._latency_s) * _NEWEST_PART

    def suspect(self, now_s: float) -> bool:
        """Returns whether the daemon is to be avoided.

        After its time a single call probes it, and the others still avoid it.
        """
        if self._failures < _SUSPECT_AFTER:
            return False
        return now_s < self._suspect_until_s or self.in_flight > 0

    def cost_s(self, now_s: float) -> float:
        """Returns how long a further call would take, about."""
        age_s = now_s - self._first_s
        warm = min(1.0, max(_SLOW_START_PART, age_s / _SLOW_START_S))
        return (self.in_flight + 1) * self._latency_s / warm

    def _fault(self, now_s: float) -> None:
        self._failures += 1
        if self._failures < _SUSPECT_AFTER:
            return
        doublings = min(self._failures - _SUSPECT_AFTER, 10)
        pause_s = _SHORTEST_SUSPICION_S * 2**doublings
        self._suspect_until_s = now_s + min(_LONGEST_SUSPICION_S, pause_s)


def create_peer_load(now_s: float, watching_since_s: float) -> PeerLoad:
    """Returns the load of a daemon met for the first time.

    Args:
        now_s: The time.
        watching_since_s: When this daemon began to look. What it meets soon
            after that isn't new; it is itself.
    """
    if now_s - watching_since_s < _SLOW_START_S:
        return PeerLoad(now_s - _SLOW_START_S)
    return PeerLoad(now_s)
