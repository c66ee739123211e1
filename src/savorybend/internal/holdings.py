"""The parts that a daemon owns, and to whom it has entrusted them."""

import typing

from savorybend.internal import allocation
from savorybend.internal.wire import limits as messages

# An owner that nobody with a view of the ledger has confirmed for so long
# gives up; then its parts may be granted anew. Long, because it bounds how
# long a platform outage may last before limits refuse everything.
HOLD_S = 72 * 3600.0

# A new owner waits, since what its predecessor entrusted must lapse first.
# The first owner of all has none.
_SETTLE_S = allocation.ENTRUST_S


class _Owned(typing.NamedTuple):
    serial: int
    usable_from_s: float
    confirmed_s: float


class _Stamp(typing.NamedTuple):
    incarnation: int
    stamp_s: float


class _Release(typing.NamedTuple):
    serial: int
    free_from_s: float
    settled: bool = False


class Holdings:
    """Owned parts; each is entrusted to at most one allocator at a time."""

    def __init__(self, incarnation: int):
        self._incarnation = incarnation
        self._owned: dict[int, _Owned] = {}
        self._released: dict[int, _Release] = {}
        self._stamps: dict[str, _Stamp] = {}
        self._bound_to = ("", 0)
        self._until_s = float("-inf")
        self._withdrawn_s = float("-inf")

    @property
    def owned(self) -> int:
        """How many parts this daemon owns."""
        return len(self._owned)

    @property
    def entrusted_to(self) -> tuple[str, int]:
        """Name and incarnation of whom the parts were last entrusted to."""
        return self._bound_to

    @property
    def needs_allocator(self) -> bool:
        """Whether there is anything to entrust or to report."""
        return bool(self._owned) or self.releasing

    @property
    def releasing(self) -> bool:
        """Whether parts were released that the ledger still grants."""
        return any(not r.settled for r in self._released.values())

    def bound(self, now_s: float) -> bool:
        """Returns whether an allocator may still lend from the parts."""
        return now_s < self._until_s

    def may_bind(self, allocator: str, now_s: float) -> bool:
        """Returns whether parts may be entrusted to an allocator now."""
        stamp = self._stamps.get(allocator)
        if stamp is None:
            return False
        bound = self._bound_to == (allocator, stamp.incarnation)
        return bound or now_s >= self._until_s

    def usable(self, now_s: float) -> tuple[messages.Part, ...]:
        """Returns the parts that may be entrusted to somebody now."""
        # Entrusted until a little later, so the hold must last until then.
        end_s = now_s + allocation.ENTRUST_S
        lapsed = [
            index
            for index, owned in self._owned.items()
            if end_s >= owned.confirmed_s + HOLD_S
        ]
        for index in lapsed:
            del self._owned[index]
        return tuple(
            messages.Part(index, owned.serial)
            for index, owned in self._owned.items()
            if owned.usable_from_s <= now_s
        )

    def entrust(
        self, allocator: str, now_s: float, probe: bool = False
    ) -> messages.Entrust:
        """Returns the message that entrusts the parts to an allocator.

        It carries no parts while another allocator still has them, or while
        this one's stamp isn't known.

        Args:
            allocator: Its name.
            now_s: Now.
            probe: Entrusts nothing, so that an allocator which doesn't
                answer isn't given the parts for longer.
        """
        stamp = self._stamps.get(allocator, _Stamp(0, 0.0))
        target = (allocator, stamp.incarnation)
        parts: tuple[messages.Part, ...] = ()
        rested_s = 0.0
        if not probe and self.may_bind(allocator, now_s):
            parts = self.usable(now_s)
        if parts:
            rested_s = self._rested_s(parts, now_s)
            self._bound_to = target
            self._until_s = now_s + allocation.ENTRUST_S
            self._withdrawn_s = float("-inf")
        return messages.Entrust(
            self._incarnation,
            stamp.incarnation,
            stamp.stamp_s,
            now_s,
            parts,
            self._free(now_s),
            rested_s,
        )

    def withdraw(self, now_s: float) -> messages.Withdraw:
        """Returns the message that takes the parts back from an allocator."""
        self._withdrawn_s = now_s
        parts = tuple(
            messages.Part(index, owned.serial)
            for index, owned in self._owned.items()
        )
        return messages.Withdraw(self._incarnation, now_s, parts)

    def on_withdrawn(self, allocator: str, message: messages.Withdrawn) -> None:
        """Notes that an allocator has nothing of the parts any more."""
        answered = (allocator, message.allocator_incarnation)
        if (
            message.owner_incarnation == self._incarnation
            and answered == self._bound_to
            and message.sent_s == self._withdrawn_s
        ):
            self._until_s = float("-inf")

    def on_entrusted(
        self, allocator: str, message: messages.Entrusted, now_s: float
    ) -> None:
        """Takes an allocator's stamp, and what the ledger grants."""
        if message.owner_incarnation != self._incarnation:
            return
        known = self._stamps.get(allocator)
        new = _Stamp(message.allocator_incarnation, message.stamp_s)
        if known is None or known < new:
            self._stamps[allocator] = new
        if not message.sent_s:
            # A mere hint, to be confirmed by an answer to our own message.
            return
        confirmed_s = message.sent_s - message.age_s
        if confirmed_s == float("-inf"):
            return
        for part in message.parts:
            self._confirm(part, confirmed_s, now_s)
        self._settle_released(message.parts)

    def release(self, keep: int, now_s: float) -> None:
        """Gives up parts for good until `keep` are left."""
        surplus = sorted(self._owned)[: max(0, len(self._owned) - keep)]
        # What is entrusted is free only when that has lapsed.
        free_from_s = max(now_s, self._until_s)
        for index in surplus:
            serial = self._owned.pop(index).serial
            self._released[index] = _Release(serial, free_from_s)

    def released_at_s(self) -> float:
        """Returns when everything released is free."""
        times = (release.free_from_s for release in self._released.values())
        return max(times, default=float("-inf"))

    def _rested_s(
        self, parts: tuple[messages.Part, ...], now_s: float
    ) -> float:
        if self._until_s == float("-inf"):
            return 0.0
        usable = (self._owned[part.index].usable_from_s for part in parts)
        return max(0.0, now_s - max(self._until_s, *usable))

    def _settle_released(self, granted: tuple[messages.Part, ...]) -> None:
        # What the ledger grants no more needn't be reported again, but stays
        # known: an older copy of the ledger must not bring it back.
        for index, release in self._released.items():
            if messages.Part(index, release.serial) not in granted:
                settled = release._replace(settled=True)
                self._released[index] = settled

    def _confirm(
        self, part: messages.Part, confirmed_s: float, now_s: float
    ) -> None:
        released = self._released.get(part.index)
        if released is not None and released.serial >= part.serial:
            return
        known = self._owned.get(part.index)
        if known is None or known.serial < part.serial:
            first = part.serial == 1
            usable_from_s = now_s if first else now_s + _SETTLE_S
            self._owned[part.index] = _Owned(
                part.serial, usable_from_s, confirmed_s
            )
        elif known.serial == part.serial:
            latest_s = max(known.confirmed_s, confirmed_s)
            self._owned[part.index] = known._replace(confirmed_s=latest_s)

    def _free(self, now_s: float) -> tuple[messages.Part, ...]:
        return tuple(
            messages.Part(index, release.serial)
            for index, release in self._released.items()
            if release.free_from_s <= now_s and not release.settled
        )


def create_holdings(incarnation: int) -> Holdings:
    """Returns the holdings of a daemon that has just started."""
    return Holdings(incarnation)
