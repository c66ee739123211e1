"""Whom a daemon asks for tokens, also while its allocator is silent."""

import itertools

from savorybend.internal import allocators
from savorybend.internal import timers

# A question without an answer for so long is asked again.
ANSWER_S = 0.2
_MOST_UNANSWERED = 5
# Calls that have waited for an allocator gathered meanwhile, and one that has
# just taken over has few tokens at first, so that they wait this long more.
_TAKEOVER_S = 1.0


class Lenders:
    """The allocator of this data centre, and those of others in its stead."""

    def __init__(
        self,
        chooser: allocators.Chooser,
        clock: timers.Clock,
        data_centre: str,
    ):
        self._chooser = chooser
        self._clock = clock
        self._data_centre = data_centre
        self._others: tuple[str, ...] = ()
        self._turn = itertools.count()
        # How often the own allocator did not answer lately, and from when on
        # it is asked again.
        self._unanswered = 0
        self._due_s = float("-inf")
        self._patient_until_s = float("-inf")

    @property
    def own(self) -> str:
        """The allocator of this data centre; empty where none is known."""
        return self._chooser.allocator(self._data_centre) or ""

    @property
    def silent(self) -> str:
        """The allocator of this data centre if it is silent, else empty."""
        return self.own if self._unanswered else ""

    @property
    def taking_over(self) -> bool:
        """Whether an allocator has taken over just now."""
        return self._clock.now_s() < self._patient_until_s

    def set_centres(self, others: tuple[str, ...]) -> None:
        """Names the other data centres that hold shares."""
        self._others = others

    def choose(self) -> list[str]:
        """Returns whom to ask: the own one, and while it is silent another.

        What owners entrusted to a lost allocator rests until it has lapsed;
        other data centres have their shares meanwhile.
        """
        own = self.own
        if not self._unanswered:
            return [own] if own else []
        now_s = self._clock.now_s()
        found = []
        if own and now_s >= self._due_s:
            self._due_s = now_s + ANSWER_S
            found.append(own)
        if self._others:
            centre = self._others[next(self._turn) % len(self._others)]
            away = self._chooser.allocator(centre)
            found += [away] if away else []
        return found

    def note_answer(self) -> None:
        """Notes that the own allocator has answered."""
        if self._unanswered:
            self._patient_until_s = self._clock.now_s() + _TAKEOVER_S
        self._unanswered = 0

    def note_unanswered(self, allocator: str) -> None:
        """Notes that an allocator has not answered in time."""
        if allocator != self.own:
            return
        # The rightful one is silent too until owners have turned to it, so
        # it is passed over only after as long as the owners take to do so.
        self._unanswered += 1
        if self._unanswered % _MOST_UNANSWERED == 0:
            self._chooser.suspect(allocator)


def create_lenders(
    chooser: allocators.Chooser, clock: timers.Clock, data_centre: str
) -> Lenders:
    """Returns the lenders of a daemon in `data_centre`."""
    return Lenders(chooser, clock, data_centre)
