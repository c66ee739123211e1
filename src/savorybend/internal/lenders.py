"""Selects the allocators that a daemon requests tokens from.

While the allocator of its own data centre doesn't answer, these are the
allocators of other data centres.
"""

import itertools

from savorybend.internal import allocators
from savorybend.internal import timers

# A request without a response for this long is retried.
ANSWER_S = 0.2
_MAX_UNANSWERED = 5
# How long after a takeover waiting calls aren't refused for a lack of tokens.
# Calls have queued up by then, and a new allocator has few tokens at first.
_TAKEOVER_S = 1.0


class Lenders:
    """The allocator of this data centre, with those of others as fallbacks."""

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
        self._round_robin = itertools.count()
        # Requests to the own allocator that timed out since its last response,
        # and when it may be asked again.
        self._unanswered = 0
        self._retry_at_s = float("-inf")
        self._takeover_until_s = float("-inf")

    @property
    def own(self) -> str:
        """The allocator of this data centre; empty if none is known."""
        return self._chooser.allocator(self._data_centre) or ""

    @property
    def silent(self) -> str:
        """The own allocator if it doesn't answer, else empty."""
        return self.own if self._unanswered else ""

    @property
    def taking_over(self) -> bool:
        """Whether an allocator has taken over less than `_TAKEOVER_S` ago."""
        return self._clock.now_s() < self._takeover_until_s

    def set_centres(self, others: tuple[str, ...]) -> None:
        """Sets the names of the other data centres that have shares."""
        self._others = others

    def choose(self) -> list[str]:
        """Returns the own allocator and, while it doesn't answer, a remote one.

        Parts entrusted to a lost allocator stay unused for up to
        `allocation.ENTRUST_S`; the shares of other data centres are available
        in the meantime.
        """
        own = self.own
        if not self._unanswered:
            return [own] if own else []
        now_s = self._clock.now_s()
        allocators_to_ask = []
        if own and now_s >= self._retry_at_s:
            self._retry_at_s = now_s + ANSWER_S
            allocators_to_ask.append(own)
        if self._others:
            centre = self._others[next(self._round_robin) % len(self._others)]
            remote = self._chooser.allocator(centre)
            allocators_to_ask += [remote] if remote else []
        return allocators_to_ask

    def note_answer(self) -> None:
        """Records a response of the own allocator."""
        if self._unanswered:
            self._takeover_until_s = self._clock.now_s() + _TAKEOVER_S
        self._unanswered = 0

    def note_unanswered(self, allocator: str) -> None:
        """Records that an allocator has not answered in time."""
        if allocator != self.own:
            return
        # A new allocator can't answer either until owners have entrusted their
        # parts to it, so an allocator is skipped only after as long as that
        # takes.
        self._unanswered += 1
        if self._unanswered % _MAX_UNANSWERED == 0:
            self._chooser.suspect(allocator)


def create_lenders(
    chooser: allocators.Chooser, clock: timers.Clock, data_centre: str
) -> Lenders:
    """Returns the lenders for a daemon in `data_centre`."""
    return Lenders(chooser, clock, data_centre)
