"""Entrusts a daemon's parts to the allocator of its data centre."""

import typing

from savorybend.internal import allocators
from savorybend.internal import holdings as holdings_module
from savorybend.internal import ledger
from savorybend.internal import lending
from savorybend.internal import timers
from savorybend.internal.wire import limits as messages

# Three in the time for which parts are entrusted, so that one may be lost.
INTERVAL_S = 0.5

_MOST_UNANSWERED = 2
# Parts change hands a few at a time, since each rests meanwhile.
_MOST_RELEASED = 2


class Parts(typing.NamedTuple):
    """What an owner is made of."""

    clock: timers.Clock
    chooser: allocators.Chooser
    data_centre: str
    send: lending.Send


class Owner:
    """Keeps an allocator in possession of this daemon's parts."""

    def __init__(self, parts: Parts, holdings: holdings_module.Holdings):
        self._parts = parts
        self._holdings = holdings
        self._asked = ""
        self._unanswered = 0
        self._hinted = False
        self._leaving = False

    def tick(self) -> None:
        """Entrusts the parts again; to be called every `INTERVAL_S`."""
        now_s = self._parts.clock.now_s()
        self._rebalance(now_s)
        if not (self._holdings.needs_allocator or self._hinted):
            return
        allocator = self._choose()
        if not allocator:
            return
        self._unanswered += 1
        bound_to = self._holdings.entrusted_to[0]
        if allocator != bound_to and self._holdings.bound(now_s):
            withdrawal = self._holdings.withdraw(now_s)
            self._parts.send(bound_to, withdrawal)
        message = self._holdings.entrust(allocator, now_s)
        self._parts.send(allocator, message)

    def on_entrusted(self, peer: str, message: messages.Entrusted) -> None:
        """Takes an allocator's answer, or its hint that parts were granted."""
        now_s = self._parts.clock.now_s()
        if peer == self._asked:
            self._unanswered = 0
        before = self._holdings.entrusted_to
        self._holdings.on_entrusted(peer, message, now_s)
        self._hinted = not message.sent_s
        idle = before[0] != peer and self._holdings.may_bind(peer, now_s)
        if self._hinted or (idle and self._holdings.usable(now_s)):
            # Without this the parts would rest until the next tick.
            self.tick()

    def on_withdrawn(self, peer: str, message: messages.Withdrawn) -> None:
        """Turns to the next allocator once the last one has let go."""
        now_s = self._parts.clock.now_s()
        bound = self._holdings.bound(now_s)
        self._holdings.on_withdrawn(peer, message)
        if bound and not self._holdings.bound(now_s):
            self.tick()

    def leave(self) -> float:
        """Gives up every part; returns when that has taken effect."""
        self._leaving = True
        self._holdings.release(0, self._parts.clock.now_s())
        return self._holdings.released_at_s()

    def _choose(self) -> str:
        chooser, centre = self._parts.chooser, self._parts.data_centre
        allocator = chooser.allocator(centre)
        if allocator == self._asked and self._unanswered >= _MOST_UNANSWERED:
            chooser.suspect(allocator)
            allocator = chooser.allocator(centre)
        if allocator != self._asked:
            self._unanswered = 0
        self._asked = allocator or ""
        return self._asked

    def _rebalance(self, now_s: float) -> None:
        count = len(self._parts.chooser.of_centre(self._parts.data_centre))
        if self._leaving or not count or self._holdings.releasing:
            return
        least = self._holdings.owned - _MOST_RELEASED
        self._holdings.release(max(ledger.most_parts(count), least), now_s)


def create_owner(parts: Parts, holdings: holdings_module.Holdings) -> Owner:
    """Returns the owner of `holdings`."""
    return Owner(parts, holdings)
