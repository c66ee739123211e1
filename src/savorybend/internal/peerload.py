"""One daemon's view of another: load, latency, faults, thresholds."""

import typing

from savorybend.internal import calls
from savorybend.internal import outcomes

_SUSPECT_AFTER_FAILURES = 3
_MIN_SUSPICION_S = 0.5
_MAX_SUSPICION_S = 8.0
_SLOW_START_S = 5.0
_SLOW_START_MIN_FACTOR = 0.1
_LATENCY_SMOOTHING = 0.2
# Assumed until a daemon has answered: short, so that it gets a call.
_INITIAL_LATENCY_S = 0.001
# A threshold that no answer has confirmed for _DECAY_DELAY_S decays by
# _DECAY_PER_S levels a second.
_DECAY_DELAY_S = 1.0
_DECAY_PER_S = 2.0
# Interval of the probes: if all calls of a route were refused, no answer could
# report that the overload is over, so one call is let through.
_PROBE_INTERVAL_S = 0.5
# How long a daemon that shed a call of a route isn't selected for the route.
_SHED_MEMORY_S = 0.5
# Not all calls of a route reach the overloaded service, so a lower threshold is
# adopted by this fraction of the difference on each answer.
_RELIEF_SMOOTHING = 0.5

_FAULTS = frozenset(
    {
        outcomes.BACKEND_SERVER_LOST.name,
        outcomes.ANSWER_LOST.name,
        outcomes.NO_BACKEND_SERVER.name,
    }
)


class _ReportedThreshold(typing.NamedTuple):
    """An admission threshold that an answer carried.

    Attributes:
        threshold: See `admission`.
        at_s: When the answer came, in seconds of this VM's clock.
        probe_s: When a call was last let through in spite of the threshold.
    """

    threshold: float
    at_s: float
    probe_s: float = 0.0

    def decayed(self, now_s: float) -> float:
        """Returns the threshold after its decay."""
        age_s = max(0.0, now_s - self.at_s - _DECAY_DELAY_S)
        return max(calls.NO_THRESHOLD, self.threshold - age_s * _DECAY_PER_S)


class PeerLoad:
    """The load and health of one daemon, as observed from here."""

    __slots__ = (
        "_failures",
        "_first_seen_s",
        "_latency_s",
        "_shed_s",
        "_suspect_until_s",
        "_thresholds",
        "in_flight",
    )

    def __init__(self, first_seen_s: float):
        self._first_seen_s = first_seen_s
        self._latency_s = _INITIAL_LATENCY_S
        self._failures = 0
        self._suspect_until_s = 0.0
        self._thresholds: dict[str, _ReportedThreshold] = {}
        self._shed_s: dict[str, float] = {}
        self.in_flight = 0

    def note_threshold(
        self, answer: calls.Answer, route: str, now_s: float
    ) -> None:
        """Records the threshold of an answer, and whether it is a refusal.

        Args:
            answer: The answer.
            route: The route of the call.
            now_s: The time.
        """
        threshold = answer.threshold
        known = self.threshold(route, now_s)
        if threshold < known:
            threshold = known - (known - threshold) * _RELIEF_SMOOTHING
        self._thresholds[route] = _ReportedThreshold(threshold, now_s)
        if answer.reason == outcomes.OVERLOADED.name:
            self._shed_s[route] = now_s

    def shed_recently(self, route: str, now_s: float) -> bool:
        """Returns whether the daemon shed a call of a route recently."""
        shed_s = self._shed_s.get(route)
        return shed_s is not None and now_s < shed_s + _SHED_MEMORY_S

    def threshold(self, route: str, now_s: float) -> float:
        """Returns the estimated threshold of the daemon for a route."""
        reported = self._thresholds.get(route)
        return (
            calls.NO_THRESHOLD if reported is None else reported.decayed(now_s)
        )

    def take_probe(self, route: str, now_s: float) -> bool:
        """Returns whether to let a call through as a probe, and records it.

        A call is let through if, for the probe interval, no call of the route
        was answered and no other probe was let through.
        """
        reported = self._thresholds.get(route)
        if (
            reported is None
            or now_s < max(reported.at_s, reported.probe_s) + _PROBE_INTERVAL_S
        ):
            return False
        self._thresholds[route] = reported._replace(probe_s=now_s)
        return True

    def note_outcome(
        self, answer: calls.Answer, seconds: float, now_s: float
    ) -> None:
        """Updates the latency and the consecutive failures with an answer.

        Args:
            answer: The answer.
            seconds: Time from sending the call to its answer.
            now_s: The time.
        """
        if answer.reason in _FAULTS:
            self._note_fault(now_s)
        elif answer.outcome is not outcomes.Outcome.NOT_RUN:
            self._failures = 0
            # Refusals are left out, since they are quick and would make the
            # daemon look fast.
            self._latency_s += (seconds - self._latency_s) * _LATENCY_SMOOTHING

    def is_suspect(self, now_s: float) -> bool:
        """Returns whether the daemon is to be avoided.

        Once the suspicion has lasted its time, a single call probes the
        daemon; other calls avoid it until that call is answered.
        """
        if self._failures < _SUSPECT_AFTER_FAILURES:
            return False
        return now_s < self._suspect_until_s or self.in_flight > 0

    def cost_s(self, now_s: float) -> float:
        """Returns the estimated latency of a further call, in seconds."""
        age_s = now_s - self._first_seen_s
        warm_up = min(1.0, max(_SLOW_START_MIN_FACTOR, age_s / _SLOW_START_S))
        return (self.in_flight + 1) * self._latency_s / warm_up

    def _note_fault(self, now_s: float) -> None:
        self._failures += 1
        if self._failures < _SUSPECT_AFTER_FAILURES:
            return
        doublings = min(self._failures - _SUSPECT_AFTER_FAILURES, 10)
        pause_s = _MIN_SUSPICION_S * 2**doublings
        self._suspect_until_s = now_s + min(_MAX_SUSPICION_S, pause_s)


def create_peer_load(now_s: float, watching_since_s: float) -> PeerLoad:
    """Returns the load of a daemon that is seen for the first time.

    Args:
        now_s: The time.
        watching_since_s: When this daemon started. A daemon that it sees soon
            after that isn't taken for a new one, which would start slowly;
            the observer is what is new.
    """
    if now_s - watching_since_s < _SLOW_START_S:
        return PeerLoad(now_s - _SLOW_START_S)
    return PeerLoad(now_s)
