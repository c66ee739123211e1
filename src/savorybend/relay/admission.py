"""How much of the calls that enter is refused, so that a service recovers.

Answers a service that is asked for more than it can do, directly or by the
calls that other services make while they work. The gate beside each backend
server finds the share of what is asked that it can do. A daemon passes on, by
route, the least share of the services that runs of the route call. Where calls
enter, that share is filled with the more important classes first, so whatever
is refused costs no hop and no work.
"""

import collections
import collections.abc
import math
import typing

from savorybend.internal import timers
from savorybend.relay import calls
from savorybend.relay import outcomes

FULL_SHARE = 1.0
_LEAST_SHARE = 0.02

# Classes of calls that enter, 0 the most important; see `class_of`.
CLASSES = 9
_ROUTE_CLASSES = 3

_WINDOW_S = 0.25
# Windows are joined until so many calls came, for chance not to steer.
_FEWEST_ARRIVALS = 10
_LONGEST_WINDOW_S = 1.0
# Time in the queue that bursts may need; beyond it, the queue stands.
_STANDING_S = 0.02
# Slots in use that are aimed at: some are kept for bursts.
_USED_PART = 0.95
_SATURATED_PART = 0.99
_LARGEST_CUT = 0.6
_LARGEST_GROWTH = 1.1
# Calls take a while to come down from where they enter, so each window only
# makes up for a part of what is missing.
_GROWTH_POWER = 0.2
# Where most slots are unused the overload is over, and caution costs more.
_IDLE_PART = 0.45
_IDLE_GROWTH = 1.2
# A burst has a few refused at any load.
_CHANCE_PART = 0.03

_RECENT_S = 1.0
_AGE_EVERY_S = 0.1
_FEWEST_CALLS = 4.0
# A circle of services that call one another must not keep a share alive.
_GAINED_PER_HOP = 0.01


def class_of(account_priority: int | None, route_priority: int) -> int:
    """Returns the class of a call that enters.

    The account's priority goes before the route's; among accounts of one
    priority the route's decides.
    """
    middle = 1
    account = middle if account_priority is None else account_priority
    last = _ROUTE_CLASSES - 1
    return min(account, last) * _ROUTE_CLASSES + min(route_priority, last)


def class_of_child(parent_class: int) -> int:
    """Returns the class of a call that a run of another call makes.

    Refusing what a running request waits for wastes the work already done, so
    it comes before every class of calls that enter.
    """
    return parent_class if parent_class < 0 else parent_class - CLASSES


UNKNOWN_CHILD = class_of_child(CLASSES - 1)


class CapacityEstimator:
    """The share of what is asked that a backend server can do."""

    def __init__(self, clock: timers.Clock):
        self._clock = clock
        self._share = FULL_SHARE
        self._limit = 0
        self._running = 0
        self._changed_s = clock.now_s()
        self._began_s = self._changed_s
        self._busy_s = 0.0
        self._arrived = 0
        self._shed = 0
        self._least_wait_s: float | None = None

    @property
    def share(self) -> float:
        """The share, from 0 to 1."""
        self._roll()
        return self._share

    def note_arrival(self) -> None:
        """Notes that a call came to the gate."""
        self._arrived += 1

    def note_shed(self) -> None:
        """Notes that the gate refused a call for want of room."""
        self._shed += 1

    def note_running(self, running: int, limit: int) -> None:
        """Notes how many slots are in use from now on, and how many are."""
        now_s = self._clock.now_s()
        self._busy_s += self._running * (now_s - self._changed_s)
        self._changed_s = now_s
        self._running = running
        self._limit = limit
        self._roll()

    def note_entered(self, waited_s: float) -> None:
        """Notes how long a call that was let in had waited, in seconds."""
        if self._least_wait_s is None or waited_s < self._least_wait_s:
            self._least_wait_s = waited_s

    def _roll(self) -> None:
        now_s = self._clock.now_s()
        length_s = now_s - self._began_s
        if length_s < _WINDOW_S:
            return
        if self._arrived < _FEWEST_ARRIVALS and length_s < _LONGEST_WINDOW_S:
            return
        busy_s = self._busy_s + self._running * (now_s - self._changed_s)
        if self._limit:
            self._steer(busy_s / (length_s * self._limit))
        self._began_s = now_s
        self._changed_s = now_s
        self._busy_s = 0.0
        self._arrived = 0
        self._shed = 0
        self._least_wait_s = None

    def _steer(self, used_part: float) -> None:
        shed_part = self._shed / max(1, self._arrived)
        wait_s = self._least_wait_s or 0.0
        if shed_part > _CHANCE_PART or wait_s > _STANDING_S:
            factor = _SATURATED_PART * (1 - shed_part) / (1 + wait_s)
            self._share *= max(_LARGEST_CUT, factor)
        elif used_part < _IDLE_PART:
            self._share *= _IDLE_GROWTH
        elif self._share < FULL_SHARE:
            factor = (_USED_PART / used_part) ** _GROWTH_POWER
            self._share *= min(_LARGEST_GROWTH, factor)
        self._share = min(FULL_SHARE, max(_LEAST_SHARE, self._share))


class Callee(typing.NamedTuple):
    """What runs of a route call.

    Attributes:
        service: The service that is called.
        route: The route by which it is called.
    """

    service: str
    route: str


ShareOf = collections.abc.Callable[[str, str], outcomes.Share]


class Callees:
    """What runs of each route call, as the daemon beside them sees it."""

    def __init__(self, clock: timers.Clock, share_of: ShareOf):
        self._clock = clock
        self._share_of = share_of
        self._recent: dict[tuple[str, Callee], float] = {}
        self._aged_s = clock.now_s()
        self._shares: dict[str, outcomes.Share] = {}

    @property
    def shares(self) -> dict[str, outcomes.Share]:
        """The least share of what runs of a route call, where not all."""
        now_s = self._clock.now_s()
        passed_s = now_s - self._aged_s
        if self._recent and passed_s >= _AGE_EVERY_S:
            self._aged_s = now_s
            self._age(passed_s)
        return self._shares

    def note(self, route: str, callee: Callee) -> None:
        """Notes that a run of a route called a service."""
        key = (route, callee)
        self._recent[key] = self._recent.get(key, 0.0) + 1

    def _age(self, passed_s: float) -> None:
        kept = math.exp(-passed_s / _RECENT_S)
        shares: dict[str, outcomes.Share] = {}
        for key, count in list(self._recent.items()):
            self._recent[key] = count * kept
            if count < _FEWEST_CALLS / 10:
                del self._recent[key]
                continue
            route, callee = key
            share = self._share_of(*callee)
            if share.part < FULL_SHARE and share.part < _part_of(shares, route):
                part = min(FULL_SHARE, share.part + _GAINED_PER_HOP)
                shares[route] = outcomes.Share(part, share.service)
        self._shares = shares


def _part_of(shares: dict[str, outcomes.Share], route: str) -> float:
    found = shares.get(route)
    return FULL_SHARE if found is None else found.part


class Admission:
    """Which calls may enter, by the shares of what their routes lead to."""

    def __init__(self, clock: timers.Clock, share_of: ShareOf):
        self._clock = clock
        self._share_of = share_of
        self._recent: dict[tuple[str, str], collections.Counter[int]] = {}
        self._parts: dict[tuple[str, str, int], float] = {}
        self._aged_s = clock.now_s()

    def part(self, call: calls.Call) -> float:
        """Notes a call; returns the part of its like that may enter."""
        key = (call.service, call.route)
        counts = self._recent.get(key)
        if counts is None:
            counts = self._recent[key] = collections.Counter()
        counts[call.priority] += 1
        now_s = self._clock.now_s()
        passed_s = now_s - self._aged_s
        if passed_s >= _AGE_EVERY_S:
            self._aged_s = now_s
            self._divide()
            self._age(passed_s)
        if not self._parts:
            return FULL_SHARE
        return self._parts.get((*key, call.priority), FULL_SHARE)

    def _divide(self) -> None:
        """Fills each share with the most important classes first."""
        shares = {key: self._share_of(*key) for key in self._recent}
        scarce = {
            share.service
            for share in shares.values()
            if share.part < FULL_SHARE
        }
        self._parts = {}
        for service in scarce:
            bound = [key for key in shares if shares[key].service == service]
            part = min(shares[key].part for key in bound)
            counts: collections.Counter[int] = collections.Counter()
            for key in bound:
                counts.update(self._recent[key])
            admitted = _fill(counts, part)
            for key in bound:
                for number in self._recent[key]:
                    self._parts[(*key, number)] = admitted[number]

    def _age(self, passed_s: float) -> None:
        kept = math.exp(-passed_s / _RECENT_S)
        for key, counts in list(self._recent.items()):
            for number in list(counts):
                counts[number] *= kept
                if counts[number] < 0.01:
                    del counts[number]
            if not counts:
                del self._recent[key]


def _fill(counts: collections.Counter[int], part: float) -> dict[int, float]:
    room = part * sum(counts.values())
    admitted = {}
    for number in sorted(counts):
        admitted[number] = min(FULL_SHARE, max(0.0, room / counts[number]))
        room -= counts[number]
    return admitted


def create_capacity_estimator(clock: timers.Clock) -> CapacityEstimator:
    """Returns the share of a backend server that nobody asked yet: all."""
    return CapacityEstimator(clock)


def create_callees(clock: timers.Clock, share_of: ShareOf) -> Callees:
    """Returns no callees yet.

    Args:
        clock: The time.
        share_of: Returns the share of a service for a route.
    """
    return Callees(clock, share_of)


def create_admission(clock: timers.Clock, share_of: ShareOf) -> Admission:
    """Returns an admission that lets everything enter.

    Args:
        clock: The time.
        share_of: Returns the share of a service for a route.
    """
    return Admission(clock, share_of)
