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
_MOST_RELEASED = 4


class Dependencies(typing.NamedTuple):
    """What an owner is made of."""

    clock: timers.Clock
    chooser: allocators.Chooser
    data_centre: str
    send: lending.Send


class Owner:
    """Keeps an allocator in possession of this daemon's parts."""

    def __init__(self, parts: Dependencies, holdings: holdings_module.Holdings):
        self._parts = parts
        self._holdings = holdings
        self._asked = ""
        self._answered = False
        self._unanswered = 0
        self._probing = False
        # Whether the holder of the parts has answered its last message.
        self._last_answered = False
        self._hinted = False
        self._leaving = False

    def tick(self) -> None:
        """Entrusts the parts again; to be called every `INTERVAL_S`."""
        now_s = self._parts.clock.now_s()
        self._rebalance(now_s)
        self._take_back(now_s)
        if not (self._holdings.needs_allocator or self._hinted):
            return
        allocator = self._choose()
        if not allocator:
            return
        bound_to = self._holdings.entrusted_to[0]
        moving = self._holdings.is_entrusted(now_s) and allocator != bound_to
        # Parts go only to an allocator that has answered the last message:
        # given to a lost one they would rest until that has lapsed.
        silent = self._unanswered > 0 or not self._answered
        self._probing = moving or silent
        self._unanswered += 1
        if allocator == bound_to:
            self._last_answered = False
        message = self._holdings.entrust(allocator, now_s, self._probing)
        self._parts.send(allocator, message)
        if moving and self._last_answered and self._is_known(bound_to):
            # Until the next one answers, the last one goes on; but not on
            # and on, should it be lost.
            self._last_answered = False
            self._parts.send(bound_to, self._holdings.entrust(bound_to, now_s))

    def on_entrusted(self, peer: str, message: messages.Entrusted) -> None:
        """Takes an allocator's answer, or its hint that parts were granted."""
        now_s = self._parts.clock.now_s()
        self._holdings.on_entrusted(peer, message, now_s)
        self._hinted = not message.sent_s
        if self._hinted:
            self.tick()
            return
        if peer == self._holdings.entrusted_to[0]:
            self._last_answered = True
        if peer != self._asked:
            return
        probing, self._probing = self._probing, False
        self._answered = True
        self._unanswered = 0
        bound_to = self._holdings.entrusted_to[0]
        if not probing:
            return
        if self._holdings.is_entrusted(now_s) and bound_to != peer:
            self._parts.send(bound_to, self._holdings.withdraw(now_s))
        elif self._holdings.usable(now_s):
            # Without this the parts would rest until the next tick.
            self.tick()

    def on_withdrawn(self, peer: str, message: messages.Withdrawn) -> None:
        """Turns to the next allocator once the last one has let go."""
        now_s = self._parts.clock.now_s()
        if self._holdings.on_withdrawn(peer, message, now_s):
            self.tick()

    def leave(self) -> None:
        """Gives up every part."""
        now_s = self._parts.clock.now_s()
        self._leaving = True
        self._holdings.release(0, now_s)
        self._take_back(now_s)

    def _choose(self) -> str:
        chooser, centre = self._parts.chooser, self._parts.data_centre
        allocator = chooser.allocator(centre)
        if allocator == self._asked and self._unanswered >= _MOST_UNANSWERED:
            chooser.suspect(allocator)
            allocator = chooser.allocator(centre)
        if allocator != self._asked:
            self._answered = False
            self._unanswered = 0
        self._asked = allocator or ""
        return self._asked

    def _is_known(self, name: str) -> bool:
        records = self._parts.chooser.of_centre(self._parts.data_centre)
        return any(record.name == name for record in records)

    def _take_back(self, now_s: float) -> None:
        # Otherwise what was released would rest until it has lapsed.
        message = self._holdings.withdraw_released(now_s)
        if message is not None:
            self._parts.send(self._holdings.entrusted_to[0], message)

    def _rebalance(self, now_s: float) -> None:
        count = len(self._parts.chooser.of_centre(self._parts.data_centre))
        if self._leaving or not count or self._holdings.releasing:
            return
        least = self._holdings.owned - _MOST_RELEASED
        self._holdings.release(
            max(ledger.max_parts_per_owner(count), least), now_s
        )


def create_owner(
    parts: Dependencies, holdings: holdings_module.Holdings
) -> Owner:
    """Returns the owner of `holdings`."""
    return Owner(parts, holdings)
