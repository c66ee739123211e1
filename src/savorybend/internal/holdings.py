"""Tracks the parts that a daemon owns and the allocator that has them."""

import typing

from savorybend.internal import allocation
from savorybend.internal.wire import limits as messages

# An owner gives up its parts if no copy of the ledger has confirmed them for
# this long; then they may be granted to another daemon. It is long, since after
# a platform outage of this length every call is refused as over the limit.
OWNERSHIP_TIMEOUT_S = 72 * 3600.0

# A new owner waits this long, since an allocator may still lend from the part
# for the previous owner, unless that owner reported that none does.
_NEW_OWNER_WAIT_S = allocation.ENTRUST_S


class _Owned(typing.NamedTuple):
    serial: int
    usable_from_s: float
    confirmed_s: float
    lent_under: int
    # Whether an allocator may have lent from the part since `lent_under` was
    # set.
    may_be_lent: bool = False

    @property
    def known_lent_under(self) -> int:
        return messages.LENT_UNKNOWN if self.may_be_lent else self.lent_under


class _Stamp(typing.NamedTuple):
    incarnation: int
    stamp_s: float


class _Release(typing.NamedTuple):
    part: messages.Part
    # The allocator that may still lend from the part, as name and incarnation,
    # and the time from which it can't.
    entrusted_to: tuple[str, int]
    free_from_s: float
    released_s: float
    # The newest configuration under which earlier allocators lent from it.
    lent_under: int
    recorded: bool = False


class Holdings:
    """Owned parts; each is entrusted to at most one allocator at a time."""

    def __init__(self, incarnation: int):
        self._incarnation = incarnation
        self._owned: dict[int, _Owned] = {}
        self._released: dict[int, _Release] = {}
        # The newest serial that this daemon has owned, by part.
        self._newest_serials: dict[int, int] = {}
        self._stamps: dict[str, _Stamp] = {}
        self._entrusted_to = ("", 0)
        self._until_s = float("-inf")
        self._withdrawn_s = float("-inf")

    @property
    def owned(self) -> int:
        """Number of parts that this daemon owns."""
        return len(self._owned)

    @property
    def entrusted_to(self) -> tuple[str, int]:
        """Name and incarnation of the allocator last given the parts."""
        return self._entrusted_to

    @property
    def entrusted_until_s(self) -> float:
        """When that allocator stops lending from them, in seconds."""
        return self._until_s

    @property
    def needs_allocator(self) -> bool:
        """Whether there are parts to entrust or releases to report."""
        return bool(self._owned) or self.releasing

    @property
    def releasing(self) -> bool:
        """Whether the ledger still grants parts that were released."""
        return any(not r.recorded for r in self._released.values())

    def is_entrusted(self, now_s: float) -> bool:
        """Returns whether an allocator may still lend from the parts."""
        return now_s < self._until_s

    def may_entrust_to(self, allocator: str, now_s: float) -> bool:
        """Returns whether parts may be entrusted to this allocator now."""
        stamp = self._stamps.get(allocator)
        if stamp is None:
            return False
        is_entrusted = self._entrusted_to == (allocator, stamp.incarnation)
        return is_entrusted or now_s >= self._until_s

    def usable(self, now_s: float) -> tuple[messages.Part, ...]:
        """Returns the usable parts; drops those whose ownership timed out."""
        # Ownership must last until the end of the time for which a part would
        # be entrusted.
        until_s = now_s + allocation.ENTRUST_S
        timed_out = [
            index
            for index, owned in self._owned.items()
            if until_s >= owned.confirmed_s + OWNERSHIP_TIMEOUT_S
        ]
        for index in timed_out:
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

        It carries no parts while another allocator may still lend from them,
        or while this allocator's time stamp isn't known.

        Args:
            allocator: The allocator's name.
            now_s: Current time in seconds.
            probe: Sends no parts, so that an allocator that doesn't answer
                isn't entrusted with them for longer.
        """
        stamp = self._stamps.get(allocator, _Stamp(0, 0.0))
        target = (allocator, stamp.incarnation)
        parts: tuple[messages.Part, ...] = ()
        idle_s = 0.0
        if not probe and self.may_entrust_to(allocator, now_s):
            parts = self.usable(now_s)
        if parts:
            idle_s = self._idle_s(parts, now_s)
            self._mark_may_be_lent(parts)
            self._entrusted_to = target
            self._until_s = now_s + allocation.ENTRUST_S
            self._withdrawn_s = float("-inf")
        return messages.Entrust(
            self._incarnation,
            stamp.incarnation,
            stamp.stamp_s,
            now_s,
            parts,
            self._free_parts(now_s),
            idle_s,
        )

    def withdraw(self, now_s: float) -> messages.Withdraw:
        """Returns the message that withdraws the parts from their allocator."""
        self._withdrawn_s = now_s
        parts = tuple(
            messages.Part(index, owned.serial)
            for index, owned in self._owned.items()
        )
        return messages.Withdraw(self._incarnation, now_s, parts)

    def withdraw_released(self, now_s: float) -> messages.Withdraw | None:
        """Returns the message that withdraws released parts, or None."""
        parts = tuple(
            release.part
            for release in self._released.values()
            if not release.recorded
            and now_s < release.free_from_s
            and release.entrusted_to == self._entrusted_to
        )
        if not parts:
            return None
        return messages.Withdraw(self._incarnation, now_s, parts)

    def on_withdrawn(
        self, allocator: str, message: messages.Withdrawn, now_s: float
    ) -> bool:
        """Records that an allocator has stopped lending from some parts.

        Returns whether any parts were returned by it.
        """
        if message.owner_incarnation != self._incarnation:
            return False
        answered = (allocator, message.allocator_incarnation)
        freed = self._free_released(answered, message, now_s)
        if (
            answered != self._entrusted_to
            or message.sent_s != self._withdrawn_s
        ):
            return freed
        self._until_s = self._withdrawn_s = float("-inf")
        self._record_returned(message)
        return True

    def on_entrusted(
        self, allocator: str, message: messages.Entrusted, now_s: float
    ) -> None:
        """Records an allocator's time stamp and the parts that are granted."""
        if message.owner_incarnation != self._incarnation:
            return
        known = self._stamps.get(allocator)
        new = _Stamp(message.allocator_incarnation, message.stamp_s)
        if known is None or known < new:
            self._stamps[allocator] = new
        if not message.sent_s:
            # Only a hint: the grant counts once it comes in an answer to this
            # owner's own message.
            return
        confirmed_s = message.sent_s - message.age_s
        if confirmed_s == float("-inf"):
            return
        for part in message.parts:
            self._confirm(part, confirmed_s, now_s)
        self._mark_recorded(message.parts, confirmed_s)

    def release(self, keep: int, now_s: float) -> None:
        """Releases parts permanently until `keep` are left."""
        surplus = sorted(self._owned)[: max(0, len(self._owned) - keep)]
        # An entrusted part is free once the time for which it is entrusted has
        # expired, or the allocator has confirmed its withdrawal.
        free_from_s = max(now_s, self._until_s)
        for index in surplus:
            owned = self._owned.pop(index)
            self._released[index] = _Release(
                messages.Part(index, owned.serial, owned.known_lent_under),
                self._entrusted_to,
                free_from_s,
                now_s,
                owned.lent_under,
            )

    def released_at_s(self) -> float:
        """Returns when all released parts are free, in seconds."""
        times = (release.free_from_s for release in self._released.values())
        return max(times, default=float("-inf"))

    def _idle_s(self, parts: tuple[messages.Part, ...], now_s: float) -> float:
        if self._until_s == float("-inf"):
            return 0.0
        usable = (self._owned[part.index].usable_from_s for part in parts)
        return max(0.0, now_s - max(self._until_s, *usable))

    def _mark_recorded(
        self, granted: tuple[messages.Part, ...], confirmed_s: float
    ) -> None:
        # A release that the ledger has recorded needn't be reported again. It
        # is still remembered, so that an older copy of the ledger can't grant
        # the part again. A copy from before the release is ignored: it may be
        # older than the grant itself and lack the part for that reason.
        grants = {part.grant for part in granted}
        for index, release in self._released.items():
            later = confirmed_s >= release.released_s
            if later and release.part.grant not in grants:
                recorded = release._replace(recorded=True)
                self._released[index] = recorded

    def _mark_may_be_lent(self, parts: tuple[messages.Part, ...]) -> None:
        for part in parts:
            owned = self._owned[part.index]
            self._owned[part.index] = owned._replace(may_be_lent=True)

    def _record_returned(self, message: messages.Withdrawn) -> None:
        returned = {part.grant for part in message.parts}
        for index, owned in self._owned.items():
            if (index, owned.serial) in returned:
                lent_under = max(owned.lent_under, message.lent_under)
                self._owned[index] = owned._replace(
                    lent_under=lent_under, may_be_lent=False
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
            if release.entrusted_to == answered
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
            if self._newest_serials.get(part.index, -1) >= part.serial:
                # This daemon owned the grant before, and an allocator may have
                # lent from the part.
                lent_under = messages.LENT_UNKNOWN
            self._newest_serials[part.index] = part.serial
            at_once = lent_under != messages.LENT_UNKNOWN
            self._owned[part.index] = _Owned(
                part.serial,
                now_s if at_once else now_s + _NEW_OWNER_WAIT_S,
                confirmed_s,
                lent_under,
            )
        elif known.serial == part.serial:
            latest_s = max(known.confirmed_s, confirmed_s)
            self._owned[part.index] = known._replace(confirmed_s=latest_s)

    def _free_parts(self, now_s: float) -> tuple[messages.Part, ...]:
        return tuple(
            release.part
            for release in self._released.values()
            if release.free_from_s <= now_s and not release.recorded
        )


def create_holdings(incarnation: int) -> Holdings:
    """Returns the holdings of a daemon that has just started."""
    return Holdings(incarnation)
