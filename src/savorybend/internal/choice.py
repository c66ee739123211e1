"""Which daemon a call is given to."""

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

# The backend server on this VM costs no hop, so another one must be this much
# better before a call leaves the VM.
_LOCAL_PREFERENCE = 2.0
# One for each route and class.
_MOST_PLACES = 10_000


class Question(typing.NamedTuple):
    """What a choice depends on.

    Attributes:
        own: The record of the daemon that chooses.
        candidates: Daemons that take new work for the service.
        tried: Names of those that refused this call already.
        call: The call.
    """

    own: members.Record
    candidates: tuple[members.Record, ...]
    tried: frozenset[str]
    call: calls.Call


class Given(typing.NamedTuple):
    """A call that a daemon was given.

    Attributes:
        daemon: The daemon's name.
        route: The call's route.
        at_s: When, on this VM's clock.
    """

    daemon: str
    route: str
    at_s: float


Choice = members.Record | outcomes.Refuse | sentinels.Absence


class Tracker:
    """What this daemon sees of the others' load."""

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
        self._places: dict[tuple[str, int], fairshare.FairThrottle] = {}

    def started(self, daemon: str, route: str) -> Given:
        """Notes that a call was given to a daemon."""
        self._load(daemon).in_flight += 1
        return Given(daemon, route, self._clock.now_s())

    def ended(self, given: Given, answer: calls.Answer | None) -> None:
        """Notes that a call given to a daemon is over.

        Args:
            given: What `started` returned.
            answer: Its answer, or None if the call was cancelled.
        """
        load = self._load(given.daemon)
        load.in_flight = max(0, load.in_flight - 1)
        if answer is None:
            return
        now_s = self._clock.now_s()
        load.hear(answer, given.route, now_s)
        load.judge(answer, now_s - given.at_s, now_s)

    def on_change(self, change: members.Change) -> None:
        """Drops what was seen of a daemon that is gone."""
        match change:
            case members.Gone(record=record):
                self._loads.pop(record.name, None)
            case _:
                pass

    def in_flight(self, daemon: str) -> int:
        """Returns the calls in flight to a daemon from here."""
        load = self._loads.get(daemon)
        return 0 if load is None else load.in_flight

    def threshold(self, daemon: str, route: str) -> float:
        """Returns the threshold that a daemon is taken to have now."""
        if not self._switches.thresholds:
            return calls.NO_THRESHOLD
        return self._load(daemon).threshold(route, self._clock.now_s())

    def choose(self, question: Question) -> Choice:
        """Returns the daemon to give a call to.

        Returns:
            A daemon's record; or a refusal where every candidate would refuse
            the call; or `NO_CANDIDATE`.
        """
        candidates = [
            record
            for record in question.candidates
            if record.name not in question.tried
        ]
        if not candidates:
            return NO_CANDIDATE
        call = question.call
        # A child call's request was let in by the rule of its entry; asking
        # again at each hop would shed the same part over and over.
        if call.depth == 0 and not question.tried:
            refusal = self._refusal(call, candidates)
            if refusal is not None:
                return refusal
        return self._best(question.own, self._pool(question, candidates))

    def _refusal(
        self, call: calls.Call, candidates: list[members.Record]
    ) -> outcomes.Refuse | None:
        now_s = self._clock.now_s()
        lowest, least = min(
            (self.threshold(one.name, call.route), one.name)
            for one in candidates
        )
        places = self._places_of(call)
        places.note(call.client_account)
        part = admission.part_admitted(call.priority, lowest)
        if places.admits(call.client_account, part):
            return None
        if self._load(least).probes(call.route, now_s):
            return None
        metrics.shed(
            call.client_account,
            call.priority,
            outcomes.OVERLOADED.name,
            "entry",
        ).inc()
        return admission.refusal(lowest, self._rng)

    def _pool(
        self, question: Question, candidates: list[members.Record]
    ) -> list[members.Record]:
        """Returns the nearest candidates that are fit for the call."""
        centre = question.own.data_centre
        near = [one for one in candidates if one.data_centre == centre]
        if not self._switches.choice:
            return near or candidates
        for pool in (near, candidates):
            fit = [one for one in pool if self._fit(one.name, question.call)]
            if fit:
                return fit
        trusted = [one for one in candidates if not self._suspect(one.name)]
        return trusted or candidates

    def _fit(self, daemon: str, call: calls.Call) -> bool:
        threshold = self.threshold(daemon, call.route)
        if admission.part_admitted(call.priority, threshold) < 1:
            return False
        if call.depth == 0 and self._sheds(daemon, call.route):
            return False
        return not self._suspect(daemon)

    def _sheds(self, daemon: str, route: str) -> bool:
        # A call that enters hears no threshold of the gate that refuses it;
        # child calls do, and go on to it by their class.
        return self._load(daemon).sheds(route, self._clock.now_s())

    def _best(
        self, own: members.Record, pool: list[members.Record]
    ) -> members.Record:
        others = [one for one in pool if one.name != own.name]
        local = len(others) < len(pool)
        if local and (not others or not self._switches.choice):
            return own
        pair = self._rng.sample(others, min(2, len(others)))
        best = min(pair, key=lambda one: self._cost(one.name))
        if not local:
            return best
        least = _LOCAL_PREFERENCE * self._cost(best.name)
        return own if self._cost(own.name) <= least else best

    def _cost(self, daemon: str) -> float:
        load = self._load(daemon)
        if not self._switches.choice:
            return load.in_flight
        return load.cost_s(self._clock.now_s())

    def _suspect(self, daemon: str) -> bool:
        return self._load(daemon).suspect(self._clock.now_s())

    def _load(self, daemon: str) -> peerload.PeerLoad:
        load = self._loads.get(daemon)
        if load is None:
            load = peerload.create_peer_load(
                self._clock.now_s(), self._created_s
            )
            self._loads[daemon] = load
        return load

    def _places_of(self, call: calls.Call) -> fairshare.FairThrottle:
        key = (call.route, call.priority)
        places = self._places.get(key)
        if places is None:
            places = fairshare.create_fair_throttle(
                self._clock, self._weight_of
            )
            if len(self._places) < _MOST_PLACES:
                self._places[key] = places
        return places


def _even(client_account: str) -> float:
    return 1.0


def create_tracker(
    rng: random.Random,
    clock: timers.Clock,
    weight_of: collections.abc.Callable[[str], float] = _even,
    switches: experiments.Switches = experiments.ALL_ON,
) -> Tracker:
    """Returns a tracker that knows of no load yet.

    Args:
        rng: Where choices come from.
        clock: The time.
        weight_of: Returns a client account's weight, above zero.
        switches: Mechanisms that work.
    """
    return Tracker(rng, clock, weight_of, switches)
