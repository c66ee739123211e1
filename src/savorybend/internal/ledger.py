"""Owners of the parts of a data centre's share: one object per data centre.

The ledger changes only when daemons join or leave, not with time or calls. It
has no leases, so nothing has to be renewed during a platform outage.
"""

import collections
import collections.abc
import typing

import msgspec

from savorybend.internal import holdings
from savorybend.internal import terms
from savorybend.internal.wire import limits as messages

# An owner that has been missing for this long is no longer confirmed.
_MISSING_TIMEOUT_S = 10.0


class Entry(msgspec.Struct, frozen=True):
    """The owner of one part.

    Attributes:
        serial: Increases with each grant of the part.
        owner: Name of the daemon that owns it; empty if none does.
        incarnation: The owner's incarnation.
        address: The owner's peer address.
        marked: Whether the owner is missing and no longer confirmed.
        lent_under: The newest configuration under which the part was lent from
            for earlier owners, if they have released it; else unknown.
    """

    serial: int = 0
    owner: str = ""
    incarnation: int = 0
    address: str = ""
    marked: bool = False
    lent_under: int = messages.LENT_UNKNOWN


class Ledger(msgspec.Struct, frozen=True):
    """The owners of a data centre's parts, by index."""

    entries: tuple[Entry, ...] = (
        Entry(lent_under=messages.NEVER_LENT),
    ) * terms.PART_COUNT

    def granted(self, owner: str, incarnation: int) -> list[messages.Part]:
        """Returns the parts that are granted and confirmed to an owner."""
        return [
            messages.Part(index, entry.serial, entry.lent_under)
            for index, entry in enumerate(self.entries)
            if entry.owner == owner
            and entry.incarnation == incarnation
            and not entry.marked
        ]

    def owned_by(self, owner: str) -> list[int]:
        """Returns the indexes of an owner's parts, marked or not."""
        return [
            index
            for index, entry in enumerate(self.entries)
            if entry.owner == owner
        ]

    def without(self, owner: str) -> "Ledger":
        """Returns the ledger with the parts of an owner free.

        The owner's process must have ended: the next owner doesn't check.
        """
        entries = (
            Entry(entry.serial) if entry.owner == owner else entry
            for entry in self.entries
        )
        return Ledger(tuple(entries))


class Member(typing.NamedTuple):
    """A live daemon of the data centre.

    Attributes:
        name: The daemon's name.
        incarnation: Number of its process; a restart has a higher one.
        address: Its peer address.
    """

    name: str
    incarnation: int
    address: str


class Planner:
    """Computes the next ledger from the live daemons and released parts."""

    def __init__(self):
        self._released: dict[int, messages.Part] = {}
        # When an owner was first found missing or marked, by part and serial.
        self._missing_since_s: dict[tuple[int, int], float] = {}
        self._marked_since_s: dict[tuple[int, int], float] = {}

    def note_released(
        self, parts: collections.abc.Iterable[messages.Part]
    ) -> None:
        """Records parts that their owners have released permanently."""
        for part in parts:
            known = self._released.get(part.index)
            if known is None or known.serial <= part.serial:
                self._released[part.index] = part

    def plan(
        self,
        current: Ledger,
        alive: collections.abc.Iterable[Member],
        now_s: float,
    ) -> Ledger:
        """Returns the next ledger; equal to `current` if nothing changes."""
        members = {member.name: member for member in alive}
        entries = [
            self._next_entry(index, entry, members, now_s)
            for index, entry in enumerate(current.entries)
        ]
        self._grant(entries, members)
        return Ledger(tuple(entries))

    def _next_entry(
        self,
        index: int,
        entry: Entry,
        members: dict[str, Member],
        now_s: float,
    ) -> Entry:
        if not entry.owner:
            return entry
        released = self._released.get(index)
        if released is not None and released.serial >= entry.serial:
            return Entry(entry.serial, lent_under=released.lent_under)
        grant = (index, entry.serial)
        member = members.get(entry.owner)
        if member is not None and member.incarnation == entry.incarnation:
            self._missing_since_s.pop(grant, None)
            self._marked_since_s.pop(grant, None)
            return msgspec.structs.replace(entry, marked=False)
        if (
            member is not None
            and member.incarnation > entry.incarnation
            and member.address == entry.address
        ):
            # Only one process at a time can listen on an address, so the one
            # that had it before has ended.
            return Entry(entry.serial)
        missing_since_s = self._missing_since_s.setdefault(grant, now_s)
        if not entry.marked:
            # Not marked at once: a daemon that has just started doesn't know
            # the others yet.
            marked = now_s - missing_since_s >= _MISSING_TIMEOUT_S
            return msgspec.structs.replace(entry, marked=marked)
        marked_since_s = self._marked_since_s.setdefault(grant, now_s)
        if now_s - marked_since_s > holdings.OWNERSHIP_TIMEOUT_S:
            return Entry(entry.serial)
        return entry

    def _grant(self, entries: list[Entry], members: dict[str, Member]) -> None:
        if not members:
            return
        counts = collections.Counter(dict.fromkeys(members, 0))
        counts.update(e.owner for e in entries if e.owner in members)
        max_parts = max_parts_per_owner(len(members))
        for index, entry in enumerate(entries):
            if entry.owner:
                continue
            name = min(members, key=lambda name: (counts[name], name))
            if counts[name] >= max_parts:
                return
            counts[name] += 1
            member = members[name]
            entries[index] = Entry(
                entry.serial + 1,
                name,
                member.incarnation,
                member.address,
                lent_under=entry.lent_under,
            )


def max_parts_per_owner(members: int) -> int:
    """Returns the largest number of parts that one of `members` may own."""
    return -(-terms.PART_COUNT // members)


def create_planner() -> Planner:
    """Returns a planner without any recorded releases or missing owners."""
    return Planner()
