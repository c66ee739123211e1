"""Admission control: sheds load at the ingress when services are overloaded.

A service can be overloaded by direct calls or by child calls of other services.
The call queue of each backend server estimates the share of its offered load
that it can handle. Each daemon reports, by route, the smallest share among the
services that requests on the route call. The ingress admits that share of
calls, the more important classes first, so that a refused call uses no network
hop and no work.
"""

import collections
import collections.abc
import math
import typing

from savorybend.internal import timers
from savorybend.relay import calls
from savorybend.relay import outcomes

FULL_SHARE = 1.0
_MIN_SHARE = 0.02

# Number of classes of calls at the ingress; class 0 is the most important. See
# `class_of`.
CLASSES = 9
_ROUTE_CLASSES = 3

_WINDOW_S = 0.25
# A window is extended until it has this many calls or reaches its maximum
# length, since a few calls give too noisy an estimate.
_MIN_ARRIVALS = 10
_MAX_WINDOW_S = 1.0
# Bursts cause queue delays up to this long; a longer minimum delay within a
# window means a standing queue.
_STANDING_QUEUE_DELAY_S = 0.02
# Target utilization of the slots; the rest is headroom for bursts.
_TARGET_UTILIZATION = 0.95
_OVERLOAD_FACTOR = 0.99
# Calls that were admitted earlier go on arriving, so a larger cut would be
# repeated before it takes effect.
_MIN_OVERLOAD_FACTOR = 0.75
_MAX_GROWTH_FACTOR = 1.1
# A changed share takes effect only after calls have passed from the ingress to
# the backend server, so each window corrects only a part of the difference.
_GROWTH_EXPONENT = 0.2
# Below this utilization the overload is over, and the share grows faster.
_LOW_UTILIZATION = 0.5
_LOW_UTILIZATION_GROWTH_FACTOR = 1.5
# Shed fraction that is ignored, since bursts cause a few refusals at any load.
_IGNORED_SHED_FRACTION = 0.03

_DECAY_TIME_S = 1.0
_DECAY_INTERVAL_S = 0.1
_MIN_CALLS = 4.0
# Added at each hop, so that services which call one another in a cycle don't
# keep a reduced share in force forever.
_SHARE_GAIN_PER_HOP = 0.01


def class_of(account_priority: int | None, route_priority: int) -> int:
    """Returns the class of a call at the ingress; 0 is the most important.

    Classes are ordered by the account's priority, then by the route's.
    """
    middle = 1
    account = middle if account_priority is None else account_priority
    last = _ROUTE_CLASSES - 1
    return min(account, last) * _ROUTE_CLASSES + min(route_priority, last)


def class_of_child(parent_class: int) -> int:
    """Returns the class of a child call.

    Child calls go before every class of calls at the ingress, since refusing
    one wastes the work that its parent request has already done.
    """
    return parent_class if parent_class < 0 else parent_class - CLASSES


UNKNOWN_CHILD = class_of_child(CLASSES - 1)


class CapacityEstimator:
    """Estimates the share of offered load that a backend server can handle."""

    def __init__(self, clock: timers.Clock):
        self._clock = clock
        self._share = FULL_SHARE
        self._limit = 0
        self._rate_per_s = math.inf
        self._started = 0
        self._running = 0
        self._last_change_s = clock.now_s()
        self._window_start_s = self._last_change_s
        self._busy_s = 0.0
        self._arrived = 0
        self._shed = 0
        self._min_wait_s: float | None = None

    @property
    def share(self) -> float:
        """The estimated share, from 0 to 1."""
        self._end_window_if_due()
        return self._share

    def set_rate(self, rate_per_s: float) -> None:
        """Sets how many calls may start per second.

        Args:
            rate_per_s: The rate, above 0; infinite for any number.
        """
        if rate_per_s > self._rate_per_s:
            # What was learned under the old limit would refuse calls that the
            # new one has room for.
            grown = self._share * rate_per_s / self._rate_per_s
            self._share = min(FULL_SHARE, grown)
        self._rate_per_s = rate_per_s

    def note_arrival(self) -> None:
        """Records that a call arrived at the queue."""
        self._arrived += 1

    def note_shed(self) -> None:
        """Records that the queue refused a call because of overload."""
        self._shed += 1

    def note_running(self, running: int, limit: int) -> None:
        """Records the number of running calls and the concurrency limit."""
        now_s = self._clock.now_s()
        self._busy_s += self._running * (now_s - self._last_change_s)
        self._last_change_s = now_s
        self._running = running
        self._limit = limit
        self._end_window_if_due()

    def note_started(self, waited_s: float) -> None:
        """Records the queue delay of a started call, in seconds."""
        self._started += 1
        if self._min_wait_s is None or waited_s < self._min_wait_s:
            self._min_wait_s = waited_s

    def _end_window_if_due(self) -> None:
        now_s = self._clock.now_s()
        length_s = now_s - self._window_start_s
        if length_s < _WINDOW_S:
            return
        if self._arrived < _MIN_ARRIVALS and length_s < _MAX_WINDOW_S:
            return
        busy_s = self._busy_s + self._running * (now_s - self._last_change_s)
        if self._limit:
            utilization = max(
                busy_s / (length_s * self._limit),
                self._started / (length_s * self._rate_per_s),
            )
            self._adjust_share(utilization, length_s)
        self._window_start_s = now_s
        self._last_change_s = now_s
        self._busy_s = 0.0
        self._arrived = 0
        self._shed = 0
        self._started = 0
        self._min_wait_s = None

    def _adjust_share(self, utilization: float, length_s: float) -> None:
        shed_fraction = self._shed / max(1, self._arrived)
        wait_s = self._min_wait_s or 0.0
        if (
            shed_fraction > _IGNORED_SHED_FRACTION
            or wait_s > _STANDING_QUEUE_DELAY_S
        ):
            factor = _OVERLOAD_FACTOR * (1 - shed_fraction) / (1 + wait_s)
            self._share *= max(_MIN_OVERLOAD_FACTOR, factor)
        elif utilization < _LOW_UTILIZATION:
            # With few calls the window is long, and calls are few because the
            # share is small.
            windows = length_s / _WINDOW_S
            self._share *= _LOW_UTILIZATION_GROWTH_FACTOR**windows
        elif self._share < FULL_SHARE:
            factor = (_TARGET_UTILIZATION / utilization) ** _GROWTH_EXPONENT
            self._share *= min(_MAX_GROWTH_FACTOR, factor)
        self._share = min(FULL_SHARE, max(_MIN_SHARE, self._share))


class Callee(typing.NamedTuple):
    """A service that requests on some route call.

    Attributes:
        service: The called service.
        route: The route of the child call.
    """

    service: str
    route: str


ShareOf = collections.abc.Callable[[str, str], outcomes.Share]


class Callees:
    """Services that requests on each route call, with their shares."""

    def __init__(self, clock: timers.Clock, share_of: ShareOf):
        self._clock = clock
        self._share_of = share_of
        self._call_counts: dict[tuple[str, Callee], float] = {}
        self._last_decay_s = clock.now_s()
        self._shares: dict[str, outcomes.Share] = {}

    @property
    def shares(self) -> dict[str, outcomes.Share]:
        """The smallest share among the callees of each route.

        Routes whose callees have their full share are left out.
        """
        now_s = self._clock.now_s()
        elapsed_s = now_s - self._last_decay_s
        if self._call_counts and elapsed_s >= _DECAY_INTERVAL_S:
            self._last_decay_s = now_s
            self._decay_counts(elapsed_s)
        return self._shares

    def note(self, route: str, callee: Callee) -> None:
        """Records a child call that a request on a route made."""
        key = (route, callee)
        self._call_counts[key] = self._call_counts.get(key, 0.0) + 1

    def _decay_counts(self, elapsed_s: float) -> None:
        decay = math.exp(-elapsed_s / _DECAY_TIME_S)
        shares: dict[str, outcomes.Share] = {}
        for key, count in list(self._call_counts.items()):
            self._call_counts[key] = count * decay
            if count < _MIN_CALLS / 10:
                del self._call_counts[key]
                continue
            route, callee = key
            share = self._share_of(*callee)
            if share.part < FULL_SHARE and share.part < _fraction_of(
                shares, route
            ):
                part = min(FULL_SHARE, share.part + _SHARE_GAIN_PER_HOP)
                shares[route] = outcomes.Share(part, share.service)
        self._shares = shares


def _fraction_of(shares: dict[str, outcomes.Share], route: str) -> float:
    found = shares.get(route)
    return FULL_SHARE if found is None else found.part


class Admission:
    """Decides which fraction of calls the ingress admits."""

    def __init__(self, clock: timers.Clock, share_of: ShareOf):
        self._clock = clock
        self._share_of = share_of
        self._call_counts: dict[tuple[str, str], collections.Counter[int]] = {}
        self._admitted_fractions: dict[tuple[str, str, int], float] = {}
        self._last_decay_s = clock.now_s()

    def admitted_fraction(self, call: calls.Call) -> float:
        """Records a call; returns the fraction of its class to admit.

        The fraction, from 0 to 1, holds for calls of the same service, route
        and class.
        """
        key = (call.service, call.route)
        counts = self._call_counts.get(key)
        if counts is None:
            counts = self._call_counts[key] = collections.Counter()
        counts[call.priority] += 1
        now_s = self._clock.now_s()
        elapsed_s = now_s - self._last_decay_s
        if elapsed_s >= _DECAY_INTERVAL_S:
            self._last_decay_s = now_s
            self._divide_shares()
            self._decay_counts(elapsed_s)
        if not self._admitted_fractions:
            return FULL_SHARE
        return self._admitted_fractions.get((*key, call.priority), FULL_SHARE)

    def _divide_shares(self) -> None:
        """Divides each share among classes, the most important first."""
        shares = {key: self._share_of(*key) for key in self._call_counts}
        limited_services = {
            share.service
            for share in shares.values()
            if share.part < FULL_SHARE
        }
        self._admitted_fractions = {}
        for service in limited_services:
            keys = [key for key in shares if shares[key].service == service]
            part = min(shares[key].part for key in keys)
            counts: collections.Counter[int] = collections.Counter()
            for key in keys:
                counts.update(self._call_counts[key])
            admitted = _admit_by_class(counts, part)
            for key in keys:
                for number in self._call_counts[key]:
                    self._admitted_fractions[(*key, number)] = admitted[number]

    def _decay_counts(self, elapsed_s: float) -> None:
        decay = math.exp(-elapsed_s / _DECAY_TIME_S)
        for key, counts in list(self._call_counts.items()):
            for number in list(counts):
                counts[number] *= decay
                if counts[number] < 0.01:
                    del counts[number]
            if not counts:
                del self._call_counts[key]


def _admit_by_class(
    counts: collections.Counter[int], part: float
) -> dict[int, float]:
    capacity = part * sum(counts.values())
    admitted = {}
    for number in sorted(counts):
        admitted[number] = min(FULL_SHARE, max(0.0, capacity / counts[number]))
        capacity -= counts[number]
    return admitted


def create_capacity_estimator(clock: timers.Clock) -> CapacityEstimator:
    """Returns an estimator that begins with the full share."""
    return CapacityEstimator(clock)


def create_callees(clock: timers.Clock, share_of: ShareOf) -> Callees:
    """Returns an empty table of callees.

    Args:
        clock: The clock.
        share_of: Returns the share of a service for a route.
    """
    return Callees(clock, share_of)


def create_admission(clock: timers.Clock, share_of: ShareOf) -> Admission:
    """Returns an admission control that has seen no call yet.

    Args:
        clock: The clock.
        share_of: Returns the share of a service for a route.
    """
    return Admission(clock, share_of)
