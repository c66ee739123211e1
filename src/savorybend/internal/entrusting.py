"""Entrusts a daemon's parts to the allocator of its data centre.

To entrust a part is to let one allocator lend from it for a short, renewable
time. Ownership stays with the daemon.
"""

import typing

from savorybend.internal import allocators
from savorybend.internal import holdings as holdings_module
from savorybend.internal import ledger
from savorybend.internal import lending
from savorybend.internal import timers
from savorybend.internal.wire import limits as messages

# Three messages fit into the time for which parts are entrusted, so that one of
# them may be lost.
INTERVAL_S = 0.5

_MAX_UNANSWERED = 2
# Few parts are released at a time, since a part is unused until its new owner
# has entrusted it.
_MAX_RELEASED = 4


class Dependencies(typing.NamedTuple):
    """Services that an owner uses."""

    clock: timers.Clock
    timers: timers.TimerService
    chooser: allocators.Chooser
    data_centre: str
    send: lending.Send


class Owner:
    """Keeps this daemon's parts entrusted to the current allocator."""

    def __init__(
        self, dependencies: Dependencies, holdings: holdings_module.Holdings
    ):
        self._dependencies = dependencies
        self._holdings = holdings
        self._asked = ""
        self._answered = False
        self._unanswered = 0
        self._probing = False
        # Whether the allocator that has the parts answered the last message.
        self._last_answered = False
        self._hinted = False
        self._leaving = False
        # Runs when the time of an allocator that may be lost is over.
        self._expiry: timers.Subscription | None = None

    def tick(self) -> None:
        """Entrusts the parts again; must be called every `INTERVAL_S`."""
        now_s = self._dependencies.clock.now_s()
        self._rebalance(now_s)
        self._withdraw_released(now_s)
        if not (self._holdings.needs_allocator or self._hinted):
            return
        allocator = self._choose()
        if not allocator:
            return
        entrusted_to = self._holdings.entrusted_to[0]
        moving = (
            self._holdings.is_entrusted(now_s) and allocator != entrusted_to
        )
        # Parts are entrusted only to an allocator that answered the last
        # message. A lost one would leave them unused until they expire.
        silent = self._unanswered > 0 or not self._answered
        self._probing = moving or silent
        self._unanswered += 1
        if allocator == entrusted_to:
            self._last_answered = False
        message = self._holdings.entrust(allocator, now_s, self._probing)
        self._dependencies.send(allocator, message)
        if moving and self._last_answered and self._is_known(entrusted_to):
            # The previous allocator keeps the parts until the new one answers,
            # but only as long as it answers too: it may be lost.
            self._last_answered = False
            self._dependencies.send(
                entrusted_to, self._holdings.entrust(entrusted_to, now_s)
            )

    def on_entrusted(self, peer: str, message: messages.Entrusted) -> None:
        """Handles an allocator's answer or its hint that parts were granted."""
        now_s = self._dependencies.clock.now_s()
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
        entrusted_to = self._holdings.entrusted_to[0]
        if not probing:
            return
        if self._holdings.is_entrusted(now_s) and entrusted_to != peer:
            self._dependencies.send(
                entrusted_to, self._holdings.withdraw(now_s)
            )
            self._tick_at_expiry(now_s)
        elif self._holdings.usable(now_s):
            # Otherwise the parts would stay unused until the next tick.
            self.tick()

    def on_withdrawn(self, peer: str, message: messages.Withdrawn) -> None:
        """Entrusts the parts to the new allocator once they are returned."""
        now_s = self._dependencies.clock.now_s()
        if self._holdings.on_withdrawn(peer, message, now_s):
            self.tick()

    def leave(self) -> None:
        """Releases every part."""
        now_s = self._dependencies.clock.now_s()
        self._leaving = True
        self._holdings.release(0, now_s)
        self._withdraw_released(now_s)

    def _choose(self) -> str:
        chooser, centre = (
            self._dependencies.chooser,
            self._dependencies.data_centre,
        )
        allocator = chooser.allocator(centre)
        if allocator == self._asked and self._unanswered >= _MAX_UNANSWERED:
            chooser.suspect(allocator)
            allocator = chooser.allocator(centre)
        if allocator != self._asked:
            self._answered = False
            self._unanswered = 0
        self._asked = allocator or ""
        return self._asked

    def _tick_at_expiry(self, now_s: float) -> None:
        """Ticks once the previous allocator can't lend, if it doesn't answer.

        Until the next regular tick the data centre would have no tokens, and
        calls that wait for one would time out.
        """
        if self._expiry is not None:
            self._expiry.cancel()
        self._expiry = self._dependencies.timers.after(
            self._holdings.entrusted_until_s - now_s, self._on_expiry
        )

    def _on_expiry(self) -> None:
        now_s = self._dependencies.clock.now_s()
        if not self._holdings.is_entrusted(now_s):
            self.tick()

    def _is_known(self, name: str) -> bool:
        records = self._dependencies.chooser.of_centre(
            self._dependencies.data_centre
        )
        return any(record.name == name for record in records)

    def _withdraw_released(self, now_s: float) -> None:
        # Otherwise released parts would stay unused until they expire at the
        # allocator.
        message = self._holdings.withdraw_released(now_s)
        if message is not None:
            self._dependencies.send(self._holdings.entrusted_to[0], message)

    def _rebalance(self, now_s: float) -> None:
        count = len(
            self._dependencies.chooser.of_centre(self._dependencies.data_centre)
        )
        if self._leaving or not count or self._holdings.releasing:
            return
        least = self._holdings.owned - _MAX_RELEASED
        self._holdings.release(
            max(ledger.max_parts_per_owner(count), least), now_s
        )


def create_owner(
    dependencies: Dependencies, holdings: holdings_module.Holdings
) -> Owner:
    """Returns an `Owner` that entrusts the parts in `holdings`."""
    return Owner(dependencies, holdings)
