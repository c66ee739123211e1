"""Selects the daemon that a call is sent to.

Backend servers differ in speed, and some are slow, failing or unreachable.
Candidates are therefore compared by expected latency instead of by the number
of outstanding calls. Daemons in the caller's data centre are preferred while
they have capacity, since traffic between data centres is charged for.
"""

import collections.abc
import random
import typing

from savorybend.internal import sentinels
from savorybend.internal import timers
from savorybend.relay import calls
from savorybend.relay import directory
from savorybend.relay import frames
from savorybend.relay import outcomes
from savorybend.relay import routelatency
from savorybend.relay import serviceshare

NO_DAEMON = sentinels.create(
    "NO_DAEMON", "no daemon of the service takes calls"
)

# A backend server that uses more than this fraction of its slots counts as
# full.
_MAX_UTILIZATION = 0.75
# Cost of use above the first figure, in mean service times for all slots.
_CROWDED_UTILIZATION = 0.8
_CROWDED_COST = 8.0
# Factor on the expected latency of a daemon in another data centre.
_REMOTE_LATENCY_FACTOR = 1.5
# The same for calls that would often exceed their target latency in the
# caller's data centre.
_URGENT_REMOTE_LATENCY_FACTOR = 1.15
_DEFAULT_MEAN_S = 0.03
# Round trip within a data centre.
_HOP_S = 0.001
_FAILURE_RATE_DECAY = 0.9
_MAX_FAILURE_RATE = 0.35
# How often a daemon above `_MAX_FAILURE_RATE` is tried again.
_FAILING_RETRY_INTERVAL_S = 1.0
_LOAD_TTL_S = 1.0
# How long a daemon that refused a call counts as full.
_MIN_FULL_S = 0.02
_MAX_FULL_S = 0.3
# The same where the backend server's limit was used up. Its daemon tells when
# the next call fits, which doesn't change as other calls end.
_MAX_RATE_LIMITED_S = 1.0


class _DaemonState:
    """Last known load and recent failure rate of a daemon's backend server."""

    __slots__ = (
        "in_flight",
        "load",
        "terms",
        "dispatched_since_load",
        "load_received_s",
        "failure_rate",
        "last_dispatch_s",
        "full_until_s",
    )

    def __init__(self):
        self.in_flight = 0
        self.load: outcomes.Load | None = None
        self.terms: outcomes.Terms | None = None
        self.dispatched_since_load = 0
        self.load_received_s = 0.0
        self.failure_rate = 0.0
        self.last_dispatch_s = 0.0
        self.full_until_s = 0.0


class Candidate(typing.NamedTuple):
    """A daemon that a call may be sent to.

    Attributes:
        daemon: The daemon's name.
        near: Whether it is in this daemon's data centre.
        slots: Number of slots that its backend server announced.
        own: Whether it is this daemon itself.
        load: Load of its backend server; None if it hasn't reported any.
    """

    daemon: str
    near: bool
    slots: int
    own: bool
    load: outcomes.Load | None

    @property
    def rate_limited(self) -> bool:
        """Whether its backend server is known to have named a limit."""
        return self.load is not None and self.load.rate_limited


class Reachability(typing.Protocol):
    """State of the connections to other daemons."""

    def unreachable(self, daemon: str) -> bool:
        """Returns whether the last attempt to reach a daemon failed."""


class LoadBalancer:
    """Chooses daemons by reported load, failure rate and distance."""

    def __init__(
        self,
        own: collections.abc.Callable[[], frames.Statement],
        known: directory.Directory,
        reach: Reachability,
        clock: timers.Clock,
        rng: random.Random,
        own_load: collections.abc.Callable[[], outcomes.Load],
    ):
        self._own = own
        self._own_load = own_load
        self._directory = known
        self._reach = reach
        self._clock = clock
        self._rng = rng
        self._states: dict[str, _DaemonState] = {}
        self._route_latency = routelatency.create_route_latency()

    def record_dispatch(self, daemon: str) -> None:
        """Records that a call was sent to a daemon."""
        state = self._state(daemon)
        state.in_flight += 1
        state.dispatched_since_load += 1
        state.last_dispatch_s = self._clock.now_s()

    def record_outcome(
        self, daemon: str, outcome: outcomes.Outcome | None
    ) -> None:
        """Records the outcome of a call that was sent to a daemon.

        Args:
            daemon: The daemon's name.
            outcome: The outcome; None if the call was cancelled.
        """
        state = self._state(daemon)
        state.in_flight = max(0, state.in_flight - 1)
        if outcome is None:
            return
        state.failure_rate *= _FAILURE_RATE_DECAY
        if _is_failure(outcome):
            state.failure_rate += 1 - _FAILURE_RATE_DECAY
        if isinstance(outcome, outcomes.NotRun):
            state.full_until_s = self._clock.now_s() + _full_s(outcome)

    def record_latency(self, daemon: str, route: str, took_s: float) -> None:
        """Records the time that a daemon took for a call, in seconds."""
        load = self._state(daemon).load
        if load is not None and load.mean_s != outcomes.NOT_MEASURED_S:
            self._route_latency.note(route, took_s, load.mean_s)

    def update_load(self, daemon: str, load: outcomes.Load) -> None:
        """Stores the load that a daemon reported for its backend server."""
        state = self._state(daemon)
        state.load = load
        if load.terms is not None or load.limit > 0:
            # Without capacity, the daemon may have restarted and know no
            # backend server yet.
            state.terms = load.terms
        state.dispatched_since_load = 0
        state.load_received_s = self._clock.now_s()

    def terms(self, daemon: str) -> outcomes.Terms | None:
        """Returns what a daemon last reported of its backend server's terms."""
        state = self._states.get(daemon)
        return state.terms if state else None

    def share(self, service: str, route: str) -> outcomes.Share:
        """Returns the share of a route's calls to a service to admit.

        Daemons whose last report is older than `_LOAD_TTL_S` are left out.
        """
        now_s = self._clock.now_s()
        own = self._own()
        loads = []
        if own.service == service and own.state == directory.READY:
            loads.append(self._own_load())
        for statement in self._directory.of_service(service):
            state = self._states.get(statement.daemon)
            if state is None or state.load is None:
                continue
            fresh = now_s - state.load_received_s <= _LOAD_TTL_S
            if fresh and statement.state == directory.READY:
                loads.append(state.load)
        return serviceshare.mean_share(service, route, loads)

    def choose(
        self, call: calls.Call, tried: collections.abc.Collection[str]
    ) -> Candidate | sentinels.Absence:
        """Returns the daemon to send a call to, or `NO_DAEMON`.

        Args:
            call: The call.
            tried: Names of daemons that it was already sent to.
        """
        all_candidates = self._candidates(call)
        candidates = [
            candidate
            for candidate in all_candidates
            if candidate.daemon not in tried
        ]
        if not candidates:
            return NO_DAEMON
        now_s = self._clock.now_s()
        eligible = [
            candidate
            for candidate in candidates
            if self._eligible(candidate, now_s)
        ]
        pool = eligible or candidates
        if tried and _has_met_limit(all_candidates, tried):
            pool = _without_limit(pool)
        near = [
            candidate
            for candidate in pool
            if candidate.near and self._has_capacity(candidate)
        ]
        remote_factor = _REMOTE_LATENCY_FACTOR
        if near:
            min_mean_s = self._min_mean_s(near)
            if not self._route_latency.often_misses_target(call, min_mean_s):
                pool = near
            else:
                remote_factor = _URGENT_REMOTE_LATENCY_FACTOR
        if len(pool) == 1:
            return pool[0]
        min_mean_s = self._min_mean_s(pool)
        return min(
            pool,
            key=lambda candidate: self._cost(
                candidate, min_mean_s, remote_factor
            ),
        )

    def has_unlimited(
        self, call: calls.Call, tried: collections.abc.Collection[str]
    ) -> bool:
        """Returns whether a daemon without a rate limit has room for a call.

        Args:
            call: The call.
            tried: Names of daemons that it was already sent to.
        """
        now_s = self._clock.now_s()
        return any(
            self._eligible(candidate, now_s)
            for candidate in self._candidates(call)
            if candidate.daemon not in tried and not candidate.rate_limited
        )

    def _candidates(self, call: calls.Call) -> list[Candidate]:
        own = self._own()
        found = []
        if own.service == call.service and own.state == directory.READY:
            found.append(
                Candidate(own.daemon, True, own.slots, True, self._own_load())
            )
        for statement in self._directory.of_service(call.service):
            if statement.state == directory.READY:
                found.append(
                    Candidate(
                        statement.daemon,
                        statement.data_centre == own.data_centre,
                        statement.slots,
                        False,
                        self._state(statement.daemon).load,
                    )
                )
        return found

    def _eligible(self, candidate: Candidate, now_s: float) -> bool:
        state = self._state(candidate.daemon)
        if state.full_until_s > now_s:
            return False
        if not candidate.own and self._reach.unreachable(candidate.daemon):
            return False
        if state.failure_rate < _MAX_FAILURE_RATE:
            return True
        return now_s - state.last_dispatch_s > _FAILING_RETRY_INTERVAL_S

    def _has_capacity(self, candidate: Candidate) -> bool:
        slots = candidate.slots
        if candidate.rate_limited:
            slots = candidate.load.limit
        return self._outstanding_calls(candidate) < _MAX_UTILIZATION * max(
            1, slots
        )

    def _outstanding_calls(self, candidate: Candidate) -> int:
        load = candidate.load
        if candidate.own:
            return load.running + load.waiting
        state = self._state(candidate.daemon)
        if load is None:
            return state.in_flight
        reported = load.running + load.waiting + state.dispatched_since_load
        return max(reported, state.in_flight)

    def _min_mean_s(self, pool: list[Candidate]) -> float:
        """Returns the smallest known mean time of a call, in seconds.

        Callers use it for backend servers without a known mean, so that those
        which have just joined, or had no call for a while, are tried.
        """
        loads = [candidate.load for candidate in pool]
        known = [load.mean_s for load in loads if load and load.mean_s]
        return min(known, default=_DEFAULT_MEAN_S)

    def _cost(
        self, candidate: Candidate, min_mean_s: float, remote_factor: float
    ) -> float:
        state = self._state(candidate.daemon)
        load = candidate.load
        mean_s = (load and load.mean_s) or min_mean_s
        limit = max(1, load.limit if load and load.limit else candidate.slots)
        utilization = (self._outstanding_calls(candidate) + 1) / limit
        # Expected service time plus expected wait. The quadratic term grows
        # with utilization, so that no server is filled up while others are
        # idle. A nearly full one costs more than the wait: its queue makes the
        # ingress refuse calls that slower servers have room for.
        excess = max(0.0, utilization - _CROWDED_UTILIZATION)
        cost_s = mean_s * (
            1 + utilization * utilization * 0.5 + excess * _CROWDED_COST
        )
        cost_s *= 1 + 4 * state.failure_rate
        if not candidate.near:
            cost_s = cost_s * remote_factor + 2 * _HOP_S
        elif not candidate.own:
            cost_s += _HOP_S
        return cost_s * self._rng.uniform(0.95, 1.05)

    def _state(self, daemon: str) -> _DaemonState:
        state = self._states.get(daemon)
        if state is None:
            state = self._states[daemon] = _DaemonState()
        return state


def _has_met_limit(
    candidates: list[Candidate], tried: collections.abc.Collection[str]
) -> bool:
    """Returns whether a call was sent to a rate-limited server before."""
    return any(one.rate_limited for one in candidates if one.daemon in tried)


def _without_limit(pool: list[Candidate]) -> list[Candidate]:
    """Leaves out rate-limited servers while others remain.

    A call may be sent to a few daemons only, and the limits of one service's
    servers are often used up together.
    """
    return [one for one in pool if not one.rate_limited] or pool


def _full_s(refusal: outcomes.NotRun) -> float:
    longest_s = _MAX_FULL_S
    if refusal.reason == outcomes.SERVER_LIMIT:
        longest_s = _MAX_RATE_LIMITED_S
    return max(_MIN_FULL_S, min(longest_s, refusal.retry_after_s))


def _is_failure(outcome: outcomes.Outcome) -> bool:
    match outcome:
        case outcomes.Lost():
            return True
        case outcomes.NotRun(arrived=arrived, reason=reason):
            return arrived or reason == outcomes.UNREACHABLE
        case outcomes.Ran(status=status):
            return status >= 500
    return False
