"""The parts that a daemon owns, and to whom it has entrusted them."""

import typing

from savorybend.internal import allocation
from savorybend.internal.wire import limits as messages

# An owner that nobody with a view of the ledger has confirmed for so long
# gives up; then its parts may be granted anew. Long, because it bounds how
# long a platform outage may last before limits refuse everything.
OWNERSHIP_TIMEOUT_S = 72 * 3600.0

# A new owner waits, since what its predecessor entrusted must lapse first,
# unless its predecessor has seen to that.
_SETTLE_S = allocation.ENTRUST_S


class _Owned(typing.NamedTuple):
    serial: int
    usable_from_s: float
    confirmed_s: float
    lent_under: int
    # Whether an allocator may have lent from the part since `lent_under` was
    # known.
    out: bool = False

    @property
    def known_lent_under(self) -> int:
        return messages.LENT_UNKNOWN if self.out else self.lent_under


class _Stamp(typing.NamedTuple):
    incarnation: int
    stamp_s: float


class _Release(typing.NamedTuple):
    part: messages.Part
    # Who may still lend from it, and until when.
    bound_to: tuple[str, int]
    free_from_s: float
    released_s: float
    # Under which configuration earlier allocators lent from it.
    lent_under: int
    settled: bool = False


class Holdings:
    """Owned parts; each is entrusted to at most one allocator at a time."""

    def __init__(self, incarnation: int):
        self._incarnation = incarnation
        self._owned: dict[int, _Owned] = {}
        self._released: dict[int, _Release] = {}
        # The newest serial that was ever owned here, by part.
        self._seen: dict[int, int] = {}
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

    def is_entrusted(self, now_s: float) -> bool:
        """Returns whether an allocator may still lend from the parts."""
        return now_s < self._until_s

    def may_bind(self, allocator: str, now_s: float) -> bool:
        """Returns whether parts may be entrusted to an allocator now."""
        stamp = self._stamps.get(allocator)
        if stamp is None:
            return False
        is_entrusted = self._bound_to == (allocator, stamp.incarnation)
        return is_entrusted or now_s >= self._until_s

    def usable(self, now_s: float) -> tuple[messages.Part, ...]:
        """Returns the parts that may be entrusted to somebody now."""
        # Entrusted until a little later, so the hold must last until then.
        end_s = now_s + allocation.ENTRUST_S
        lapsed = [
            index
            for index, owned in self._owned.items()
            if end_s >= owned.confirmed_s + OWNERSHIP_TIMEOUT_S
        ]
        for index in lapsed:
            del self._owned[index]
        return tuple(
            messages.Part(index, owned.serial, owned.known_lent_under)
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
            self._note_out(parts)
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

    def withdraw_released(self, now_s: float) -> messages.Withdraw | None:
        """Returns the message that takes back what was released, if any."""
        parts = tuple(
            release.part
            for release in self._released.values()
            if not release.settled
            and now_s < release.free_from_s
            and release.bound_to == self._bound_to
        )
        if not parts:
            return None
        return messages.Withdraw(self._incarnation, now_s, parts)

    def on_withdrawn(
        self, allocator: str, message: messages.Withdrawn, now_s: float
    ) -> bool:
        """Notes that an allocator has nothing of some parts any more.

        Returns whether parts came back by it.
        """
        if message.owner_incarnation != self._incarnation:
            return False
        answered = (allocator, message.allocator_incarnation)
        freed = self._free_released(answered, message, now_s)
        if answered != self._bound_to or message.sent_s != self._withdrawn_s:
            return freed
        self._until_s = self._withdrawn_s = float("-inf")
        self._note_returned(message)
        return True

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
        self._settle_released(message.parts, confirmed_s)

    def release(self, keep: int, now_s: float) -> None:
        """Gives up parts for good until `keep` are left."""
        surplus = sorted(self._owned)[: max(0, len(self._owned) - keep)]
        # What is entrusted is free only when that has lapsed, or when the
        # allocator has let go of it.
        free_from_s = max(now_s, self._until_s)
        for index in surplus:
            owned = self._owned.pop(index)
            self._released[index] = _Release(
                messages.Part(index, owned.serial, owned.known_lent_under),
                self._bound_to,
                free_from_s,
                now_s,
                owned.lent_under,
            )

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

    def _settle_released(
        self, granted: tuple[messages.Part, ...], confirmed_s: float
    ) -> None:
        # What the ledger grants no more needn't be reported again, but stays
        # known: an older copy of the ledger must not bring it back. A copy
        # from before the release may be older than the grant, too, and then
        # says nothing.
        grants = {part.grant for part in granted}
        for index, release in self._released.items():
            later = confirmed_s >= release.released_s
            if later and release.part.grant not in grants:
                settled = release._replace(settled=True)
                self._released[index] = settled

    def _note_out(self, parts: tuple[messages.Part, ...]) -> None:
        for part in parts:
            owned = self._owned[part.index]
            self._owned[part.index] = owned._replace(out=True)

    def _note_returned(self, message: messages.Withdrawn) -> None:
        returned = {part.grant for part in message.parts}
        for index, owned in self._owned.items():
            if (index, owned.serial) in returned:
                lent_under = max(owned.lent_under, message.lent_under)
                self._owned[index] = owned._replace(
                    lent_under=lent_under, out=False
                )

    def _free_released(
        self,
        answered: tuple[str, int],
        message: messages.Withdrawn,
        now_s: float,
    ) -> bool:
        returned = {part.grant for part in message.parts}
        freed = [
            release
            for release in self._released.values()
            if release.bound_to == answered
            and now_s < release.free_from_s
            and release.part.grant in returned
        ]
        for release in freed:
            lent_under = max(release.lent_under, message.lent_under)
            part = messages.Part(*release.part.grant, lent_under)
            self._released[part.index] = release._replace(
                part=part, free_from_s=now_s
            )
        return bool(freed)

    def _confirm(
        self, part: messages.Part, confirmed_s: float, now_s: float
    ) -> None:
        released = self._released.get(part.index)
        if released is not None and released.part.serial >= part.serial:
            return
        known = self._owned.get(part.index)
        if known is None or known.serial < part.serial:
            lent_under = part.lent_under
            if self._seen.get(part.index, -1) >= part.serial:
                # It was owned here before, and lent from.
                lent_under = messages.LENT_UNKNOWN
            self._seen[part.index] = part.serial
            at_once = lent_under != messages.LENT_UNKNOWN
            self._owned[part.index] = _Owned(
                part.serial,
                now_s if at_once else now_s + _SETTLE_S,
                confirmed_s,
                lent_under,
            )
        elif known.serial == part.serial:
            latest_s = max(known.confirmed_s, confirmed_s)
            self._owned[part.index] = known._replace(confirmed_s=latest_s)

    def _free(self, now_s: float) -> tuple[messages.Part, ...]:
        return tuple(
            release.part
            for release in self._released.values()
            if release.free_from_s <= now_s and not release.settled
        )


def create_holdings(incarnation: int) -> Holdings:
    """Returns the holdings of a daemon that has just started."""
    return Holdings(incarnation)
