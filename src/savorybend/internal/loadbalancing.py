"""Selects the daemon that a call is sent to, by load, latency and locality."""

import collections.abc
import random
import typing

from savorybend.internal import admission
from savorybend.internal import calls
from savorybend.internal import experiments
from savorybend.internal import fairshare
from savorybend.internal import members
from savorybend.internal import metrics
from savorybend.internal import outcomes
from savorybend.internal import peerload
from savorybend.internal import sentinels
from savorybend.internal import timers

NO_CANDIDATE = sentinels.create(
    "NO_CANDIDATE", "no daemon of the service takes new work"
)

# The backend server on this VM costs no network hop, so another daemon must be
# cheaper by this factor before a call leaves the VM.
_LOCAL_PREFERENCE_FACTOR = 2.0
# Limits `_throttles`, which has one entry for each route and priority.
_MAX_THROTTLES = 10_000


class Selection(typing.NamedTuple):
    """Inputs of one selection.

    Attributes:
        own: The record of this daemon.
        candidates: Daemons that take new work for the service.
        tried: Names of the daemons that this call was sent to already.
        call: The call.
    """

    own: members.Record
    candidates: tuple[members.Record, ...]
    tried: frozenset[str]
    call: calls.Call


class StartedCall(typing.NamedTuple):
    """A call in flight to a daemon.

    Attributes:
        daemon: The daemon's name.
        route: The call's route.
        sent_s: When it was sent, in seconds of this VM's clock.
    """

    daemon: str
    route: str
    sent_s: float


Choice = members.Record | outcomes.Refuse | sentinels.Absence


class LoadBalancer:
    """Tracks the load of daemons as seen from here, and selects among them."""

    def __init__(
        self,
        rng: random.Random,
        clock: timers.Clock,
        weight_of: collections.abc.Callable[[str], float],
        switches: experiments.Switches,
    ):
        self._rng = rng
        self._clock = clock
        self._weight_of = weight_of
        self._switches = switches
        self._created_s = clock.now_s()
        self._loads: dict[str, peerload.PeerLoad] = {}
        self._throttles: dict[tuple[str, int], fairshare.FairThrottle] = {}

    def started(self, daemon: str, route: str) -> StartedCall:
        """Records that a call is sent to a daemon."""
        self._load(daemon).in_flight += 1
        return StartedCall(daemon, route, self._clock.now_s())

    def ended(self, started: StartedCall, answer: calls.Answer | None) -> None:
        """Records the end of a call that was sent to a daemon.

        Args:
            started: What `started` returned.
            answer: The answer, or None if the call was cancelled.
        """
        load = self._load(started.daemon)
        load.in_flight = max(0, load.in_flight - 1)
        if answer is None:
            return
        now_s = self._clock.now_s()
        load.note_threshold(answer, started.route, now_s)
        load.note_outcome(answer, now_s - started.sent_s, now_s)

    def on_change(self, change: members.Change) -> None:
        """Drops the load of a daemon that has left the directory."""
        match change:
            case members.MemberRemoved(record=record):
                self._loads.pop(record.name, None)
            case _:
                pass

    def in_flight(self, daemon: str) -> int:
        """Returns the number of calls in flight from here to a daemon."""
        load = self._loads.get(daemon)
        return 0 if load is None else load.in_flight

    def threshold(self, daemon: str, route: str) -> float:
        """Returns the estimated admission threshold of a daemon for a route."""
        if not self._switches.thresholds:
            return calls.NO_THRESHOLD
        return self._load(daemon).threshold(route, self._clock.now_s())

    def choose(self, selection: Selection) -> Choice:
        """Selects the daemon for a call.

        Returns:
            The daemon's record; a refusal where every candidate would refuse
            the call; or `NO_CANDIDATE`.
        """
        candidates = [
            record
            for record in selection.candidates
            if record.name not in selection.tried
        ]
        if not candidates:
            return NO_CANDIDATE
        call = selection.call
        # The root request of a child call was admitted where it entered.
        # Admission at every hop would shed the same fraction once per hop.
        if call.depth == 0 and not selection.tried:
            refusal = self._refuse_if_overloaded(call, candidates)
            if refusal is not None:
                return refusal
        return self._cheapest(
            selection.own, self._candidate_pool(selection, candidates)
        )

    def _refuse_if_overloaded(
        self, call: calls.Call, candidates: list[members.Record]
    ) -> outcomes.Refuse | None:
        now_s = self._clock.now_s()
        lowest, least_loaded = min(
            (self.threshold(candidate.name, call.route), candidate.name)
            for candidate in candidates
        )
        throttle = self._throttle_of(call)
        throttle.note(call.client_account)
        fraction_admitted = admission.part_admitted(call.priority, lowest)
        if throttle.admits(call.client_account, fraction_admitted):
            return None
        if self._load(least_loaded).take_probe(call.route, now_s):
            return None
        metrics.shed(
            call.client_account,
            call.priority,
            outcomes.OVERLOADED.name,
            "entry",
        ).inc()
        return admission.refusal(lowest, self._rng)

    def _candidate_pool(
        self, selection: Selection, candidates: list[members.Record]
    ) -> list[members.Record]:
        """Returns the candidates to choose from.

        Eligible daemons of this data centre come first, then eligible ones of
        any data centre, then all that aren't suspected, then all.
        """
        data_centre = selection.own.data_centre
        local_candidates = [
            candidate
            for candidate in candidates
            if candidate.data_centre == data_centre
        ]
        if not self._switches.choice:
            return local_candidates or candidates
        for pool in (local_candidates, candidates):
            eligible = [
                candidate
                for candidate in pool
                if self._is_eligible(candidate.name, selection.call)
            ]
            if eligible:
                return eligible
        unsuspected = [
            candidate
            for candidate in candidates
            if not self._is_suspect(candidate.name)
        ]
        return unsuspected or candidates

    def _is_eligible(self, daemon: str, call: calls.Call) -> bool:
        threshold = self.threshold(daemon, call.route)
        if admission.part_admitted(call.priority, threshold) < 1:
            return False
        if call.depth == 0 and self._shed_recently(daemon, call.route):
            return False
        return not self._is_suspect(daemon)

    def _shed_recently(self, daemon: str, route: str) -> bool:
        # The refusal of a root call carries no threshold of the gate that
        # refused it, so the refusal itself counts. That of a child call does,
        # so child calls are selected by the threshold for their class.
        return self._load(daemon).shed_recently(route, self._clock.now_s())

    def _cheapest(
        self, own: members.Record, pool: list[members.Record]
    ) -> members.Record:
        others = [candidate for candidate in pool if candidate.name != own.name]
        local = len(others) < len(pool)
        if local and (not others or not self._switches.choice):
            return own
        sampled = self._rng.sample(others, min(2, len(others)))
        best = min(sampled, key=lambda candidate: self._cost(candidate.name))
        if not local:
            return best
        max_local_cost = _LOCAL_PREFERENCE_FACTOR * self._cost(best.name)
        return own if self._cost(own.name) <= max_local_cost else best

    def _cost(self, daemon: str) -> float:
        load = self._load(daemon)
        if not self._switches.choice:
            return load.in_flight
        return load.cost_s(self._clock.now_s())

    def _is_suspect(self, daemon: str) -> bool:
        return self._load(daemon).is_suspect(self._clock.now_s())

    def _load(self, daemon: str) -> peerload.PeerLoad:
        load = self._loads.get(daemon)
        if load is None:
            load = peerload.create_peer_load(
                self._clock.now_s(), self._created_s
            )
            self._loads[daemon] = load
        return load

    def _throttle_of(self, call: calls.Call) -> fairshare.FairThrottle:
        key = (call.route, call.priority)
        throttle = self._throttles.get(key)
        if throttle is None:
            throttle = fairshare.create_fair_throttle(
                self._clock, self._weight_of
            )
            if len(self._throttles) < _MAX_THROTTLES:
                self._throttles[key] = throttle
        return throttle


def _equal_weight(client_account: str) -> float:
    return 1.0


def create_load_balancer(
    rng: random.Random,
    clock: timers.Clock,
    weight_of: collections.abc.Callable[[str], float] = _equal_weight,
    switches: experiments.Switches = experiments.ALL_ON,
) -> LoadBalancer:
    """Returns a load balancer without observations.

    Args:
        rng: Source of randomness for the selection.
        clock: This VM's clock.
        weight_of: Returns a client account's weight, above zero.
        switches: Which mechanisms are enabled.
    """
    return LoadBalancer(rng, clock, weight_of, switches)
