"""Who owns which part of a data centre's share: one object per data centre.

The ledger changes when daemons come and go, not with time or calls: it needs
no lease, and nothing has to be renewed while the platform is out.
"""

import collections
import collections.abc
import typing

import msgspec

from savorybend.internal import holdings
from savorybend.internal import terms
from savorybend.internal.wire import limits as messages

# An owner that is missing for so long is no longer confirmed.
_MISSED_S = 10.0


class Entry(msgspec.Struct, frozen=True):
    """The owner of one part.

    Attributes:
        serial: Rises with each grant of the part.
        owner: A daemon's name; empty for none.
        incarnation: The owner's incarnation.
        address: The owner's peer address.
        marked: Nobody confirms the owner any more.
        lent_under: The newest configuration under which earlier owners had
            the part lent from, where they have let go of it.
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
        """Returns the parts of an owner that are confirmed to it."""
        return [
            messages.Part(index, entry.serial, entry.lent_under)
            for index, entry in enumerate(self.entries)
            if entry.owner == owner
            and entry.incarnation == incarnation
            and not entry.marked
        ]

    def owned_by(self, owner: str) -> list[int]:
        """Returns the indexes of the parts of an owner, lost or not."""
        return [
            index
            for index, entry in enumerate(self.entries)
            if entry.owner == owner
        ]

    def without(self, owner: str) -> "Ledger":
        """Returns the ledger with the parts of an owner free.

        It must have ended: whoever owns them next doesn't ask.
        """
        entries = (
            Entry(entry.serial) if entry.owner == owner else entry
            for entry in self.entries
        )
        return Ledger(tuple(entries))


class Member(typing.NamedTuple):
    """A daemon of the data centre that is alive.

    Attributes:
        name: Its name.
        incarnation: Its incarnation.
        address: Its peer address.
    """

    name: str
    incarnation: int
    address: str


class Planner:
    """Works out the next ledger from who is alive and what is free."""

    def __init__(self):
        self._released: dict[int, messages.Part] = {}
        # When an owner was first missed or seen marked, by part and serial.
        self._missed_s: dict[tuple[int, int], float] = {}
        self._marked_s: dict[tuple[int, int], float] = {}

    def note_released(
        self, parts: collections.abc.Iterable[messages.Part]
    ) -> None:
        """Notes parts that their owners have given up for good."""
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
        """Returns the next ledger; equal to `current` if nothing is due."""
        members = {member.name: member for member in alive}
        entries = [
            self._settle(index, entry, members, now_s)
            for index, entry in enumerate(current.entries)
        ]
        self._grant(entries, members)
        return Ledger(tuple(entries))

    def _settle(
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
            self._missed_s.pop(grant, None)
            self._marked_s.pop(grant, None)
            return msgspec.structs.replace(entry, marked=False)
        if (
            member is not None
            and member.incarnation > entry.incarnation
            and member.address == entry.address
        ):
            # One process at a time can hold an address, so whoever had it
            # before has ended.
            return Entry(entry.serial)
        missed_s = self._missed_s.setdefault(grant, now_s)
        if not entry.marked:
            # A daemon that has just started doesn't know the others yet.
            marked = now_s - missed_s >= _MISSED_S
            return msgspec.structs.replace(entry, marked=marked)
        marked_s = self._marked_s.setdefault(grant, now_s)
        if now_s - marked_s > holdings.OWNERSHIP_TIMEOUT_S:
            return Entry(entry.serial)
        return entry

    def _grant(self, entries: list[Entry], members: dict[str, Member]) -> None:
        if not members:
            return
        counts = collections.Counter(dict.fromkeys(members, 0))
        counts.update(e.owner for e in entries if e.owner in members)
        most = max_parts_per_owner(len(members))
        for index, entry in enumerate(entries):
            if entry.owner:
                continue
            name = min(members, key=lambda name: (counts[name], name))
            if counts[name] >= most:
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
    """Returns how many parts a daemon owns at most in a data centre."""
    return -(-terms.PART_COUNT // members)


def create_planner() -> Planner:
    """Returns a planner that has seen nothing yet."""
    return Planner()
