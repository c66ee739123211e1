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

# Number of classes of calls at the ingress; class 0 is the most important. See
# `class_of`.
CLASSES = 9
_ROUTE_CLASSES = 3

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
