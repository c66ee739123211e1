"""Which daemon a call is given to."""

import random
import typing

from savorybend.internal import calls
from savorybend.internal import members
from savorybend.internal import outcomes
from savorybend.internal import sentinels

NO_CANDIDATE = sentinels.create(
    "NO_CANDIDATE", "no daemon of the service takes new work"
)


class Tracker:
    """What this daemon sees of the others' load."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._in_flight: dict[str, int] = {}

    def started(self, daemon: str) -> None:
        """Notes that a call was given to a daemon."""
        self._in_flight[daemon] = self._in_flight.get(daemon, 0) + 1

    def ended(self, daemon: str, answer: calls.Answer | None) -> None:
        """Notes that a call given to a daemon is over.

        Args:
            daemon: The daemon's name.
            answer: Its answer, or None if the call was cancelled.
        """
        left = self._in_flight.get(daemon, 1) - 1
        if left:
            self._in_flight[daemon] = left
        else:
            self._in_flight.pop(daemon, None)

    def in_flight(self, daemon: str) -> int:
        """Returns the calls in flight to a daemon from here."""
        return self._in_flight.get(daemon, 0)

    def choose(
        self, question: "Question"
    ) -> "members.Record | outcomes.Refuse | sentinels.Absence":
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
        near = [
            record
            for record in candidates
            if record.data_centre == question.own.data_centre
        ]
        pool = near or candidates
        for record in pool:
            if record.name == question.own.name:
                return record
        pair = self._rng.sample(pool, min(2, len(pool)))
        return min(pair, key=lambda record: self.in_flight(record.name))


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


def create_tracker(rng: random.Random) -> Tracker:
    """Returns a tracker that knows of no load yet."""
    return Tracker(rng)
