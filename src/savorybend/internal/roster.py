"""What is known of each daemon of the fleet, lost ones included."""

import collections.abc
import math
import typing

import msgspec

from savorybend.internal import charts
from savorybend.internal import hashtree
from savorybend.internal import members
from savorybend.internal import metrics
from savorybend.internal import signing
from savorybend.internal import timers
from savorybend.internal.wire import membership as wire

ALIVE = "alive"
SUSPECT = "suspect"
DEAD = "dead"
LEFT = members.LEFT

# A daemon's news at one revision only ever moves up this order, so that the
# order in which daemons hear of it doesn't matter.
_RANKS = {ALIVE: 0, SUSPECT: 1, DEAD: 2, LEFT: 3}
_TRIGGERS = {
    ALIVE: "announce",
    SUSPECT: "suspect",
    DEAD: "expire",
    LEFT: "leave",
}
_PRESENT = frozenset({ALIVE, SUSPECT})

# Those that left are remembered for longer than news of an older revision is
# under way. A region may be cut off for hours; its daemons are remembered for
# longer than that, so that they are found again without anyone's help.
_KEEP_S = {LEFT: 600.0, DEAD: 3 * 86_400.0}


class Entry(msgspec.Struct):
    """One daemon.

    Attributes:
        record: Its newest known record.
        state: A state of charts/member.json.
        since_s: When it came into this state, on this daemon's clock.
    """

    record: members.Record
    state: str
    since_s: float

    @property
    def key(self) -> tuple[int, int, int]:
        """Orders what is known of one daemon from old to new."""
        return (*self.record.age_key, _RANKS[self.state])


Listener = collections.abc.Callable[[wire.Update], None]
ClaimListener = collections.abc.Callable[[str], None]
RecordListener = collections.abc.Callable[[members.Record], None]


class Roster:
    """Follows each daemon's state and keeps the directory in step."""

    def __init__(
        self,
        directory: members.Directory,
        clock: timers.Clock,
        signer: signing.Signer,
    ):
        self._directory = directory
        self._clock = clock
        self._signer = signer
        self._chart = charts.load("member")
        self._tree = hashtree.create_tree()
        self._entries: dict[str, Entry] = {}
        self._entries_by_leaf: dict[str, list[Entry]] = {}
        # News of a name whose holder is known by another key and lives.
        self._claims: dict[str, wire.Update] = {}
        self._listeners: list[Listener] = []
        self._claim_listeners: list[ClaimListener] = []
        self._replaced_listeners: list[collections.abc.Callable[[], None]] = []
        self._forgotten_listeners: list[RecordListener] = []
        self._leaving = False
        own = Entry(directory.own, ALIVE, clock.now_s())
        self._insert(own)

    @property
    def tree(self) -> hashtree.HashTree:
        """Signatures of what is known, those that left not included."""
        return self._tree

    @property
    def own(self) -> members.Record:
        """This daemon's own record."""
        return self._directory.own

    def subscribe(self, listener: Listener) -> None:
        """Calls `listener` with each update that was news."""
        self._listeners.append(listener)

    def subscribe_replaced(
        self, listener: collections.abc.Callable[[], None]
    ) -> None:
        """Calls `listener` when this daemon's name was started anew."""
        self._replaced_listeners.append(listener)

    def subscribe_claims(self, listener: ClaimListener) -> None:
        """Calls `listener` with a name that another key claims."""
        self._claim_listeners.append(listener)

    def subscribe_forgotten(self, listener: RecordListener) -> None:
        """Calls `listener` with a dead daemon's record when it is forgotten."""
        self._forgotten_listeners.append(listener)

    def get(self, name: str) -> Entry | None:
        """Returns what is known of a daemon."""
        return self._entries.get(name)

    def entries(self) -> collections.abc.Collection[Entry]:
        """Returns what is known of every daemon."""
        return self._entries.values()

    def entries_in_leaf(self, leaf: str) -> list[Entry]:
        """Returns the daemons below a leaf of the tree of signatures."""
        return self._entries_by_leaf.get(leaf, [])

    def in_state(self, state: str) -> list[Entry]:
        """Returns the daemons in a state."""
        return [e for e in self._entries.values() if e.state == state]

    def update_of(self, entry: Entry) -> wire.Update:
        """Returns an entry as a message tells of it."""
        age_s = self._clock.now_s() - entry.since_s
        return wire.Update(entry.record, entry.state, age_s)

    def apply(self, update: wire.Update) -> bool:
        """Takes an update if it is newer than what is known.

        Returns:
            Whether it was news.
        """
        if update.state not in _RANKS:
            return False
        if update.record.name == self.own.name:
            return self._take_own(update)
        known = self._entries.get(update.record.name)
        if known is None:
            return self._is_genuine(update) and self._add(update)
        if update.state == DEAD and known.state in _PRESENT:
            # Another daemon's verdict, perhaps from across a cut that has
            # healed: the accused is given the time to speak up.
            update = wire.Update(update.record, SUSPECT)
        if update.record.age_key < known.record.age_key:
            metrics.peer_refusals("old-record").inc()
        if _key_of(update) <= known.key:
            return False
        if update.record == known.record and update.state != LEFT:
            return self._move(known, update)
        return self._renew(known, update)

    def _renew(self, known: Entry, update: wire.Update) -> bool:
        if not self._is_genuine(update):
            return False
        if update.record.signing_key != known.record.signing_key:
            if update.record.incarnation <= known.record.incarnation:
                metrics.peer_refusals("forged-record").inc()
                return False
            if known.state in _PRESENT:
                self._claim(update)
                return False
        return self._move(known, update)

    def is_claimed(self, name: str) -> bool:
        """Returns whether another key than its holder's claims a name."""
        return name in self._claims

    def resolve_claim(
        self, name: str, announced: members.Record | None
    ) -> None:
        """Takes the platform's word for who holds a claimed name.

        Args:
            name: The name.
            announced: Its record on the platform, if there is one.
        """
        claim = self._claims.pop(name, None)
        known = self._entries.get(name)
        if claim is None or known is None:
            return
        if announced is None or not _succeeds(announced, known.record):
            metrics.peer_refusals("claimed-name").inc()
        elif name == self.own.name:
            # Its key is refused everywhere in favour of the later start's.
            for listener in self._replaced_listeners:
                listener()
        else:
            if claim.record.signing_key != announced.signing_key:
                claim = wire.Update(announced, ALIVE)
            self._move(known, claim)

    def suspect_holder(self, name: str) -> None:
        """Gives the holder of a claimed name the time to speak up."""
        known = self._entries.get(name)
        if known is not None and name in self._claims:
            self.apply(wire.Update(known.record, SUSPECT))

    def expire(self, name: str) -> bool:
        """Takes a daemon for dead, on this daemon's own account."""
        known = self._entries.get(name)
        if known is None or known.state not in _PRESENT:
            return False
        return self._move(known, wire.Update(known.record, DEAD))

    def _move(self, known: Entry, update: wire.Update) -> bool:
        self._toggle(known)
        state = known.state
        if update.record.age_key > known.record.age_key:
            state = self._chart.initial
        known.record = update.record
        known.state = self._chart.next_state(state, _TRIGGERS[update.state])
        known.since_s = self._clock.now_s() - max(0.0, update.age_s)
        self._toggle(known)
        self._settle(known)
        self._tell(update)
        self._review_claim(known)
        return True

    def _review_claim(self, known: Entry) -> None:
        claim = self._claims.get(known.record.name)
        if claim is not None and known.state not in _PRESENT:
            del self._claims[known.record.name]
            self.apply(claim)

    def announce(self, **fields: typing.Any) -> None:
        """Puts out a new revision of this daemon's own record."""
        self._announce(self.own.revision + 1, fields)

    def leave(self) -> wire.Update:
        """Returns this daemon's last word, and spreads it."""
        self._leaving = True
        revision = self.own.revision + 1
        record = msgspec.structs.replace(
            self.own, revision=revision, state=LEFT
        )
        # Signed, since a daemon that left is not asked whether it lives.
        update = wire.Update(self._signer.sign(record), LEFT)
        self._tell(update)
        return update

    def forget_old(self) -> None:
        """Forgets daemons that left or died long ago."""
        now_s = self._clock.now_s()
        for name, entry in list(self._entries.items()):
            if now_s - entry.since_s > _KEEP_S.get(entry.state, math.inf):
                self._toggle(entry)
                del self._entries[name]
                self._entries_by_leaf[hashtree.leaf_of(name)].remove(entry)
                self._tell_forgotten(entry)

    def _tell_forgotten(self, entry: Entry) -> None:
        if entry.state == DEAD:
            for listener in self._forgotten_listeners:
                listener(entry.record)

    def _take_own(self, update: wire.Update) -> bool:
        own = self.own
        accused = update.state != ALIVE or update.record != own
        if self._leaving or not accused:
            return False
        if update.record.age_key < own.age_key:
            # An old accusation: its sender missed the word against it.
            self._tell(wire.Update(own, ALIVE))
            return False
        if update.record != own and not self._is_genuine(update):
            return False
        if update.record.signing_key != own.signing_key:
            if update.record.incarnation > own.incarnation:
                self._claim(update)
            return False
        # Only this daemon raises its revision, so the others drop the
        # accusation as soon as they hear of the new one.
        self._announce(update.record.revision + 1, {})
        return True

    def _announce(self, revision: int, fields: dict[str, typing.Any]) -> None:
        record = msgspec.structs.replace(self.own, revision=revision, **fields)
        record = self._signer.sign(record)
        entry = self._entries[record.name]
        self._toggle(entry)
        entry.record = record
        self._toggle(entry)
        self._directory.put(record)
        self._tell(wire.Update(record, ALIVE))

    def _add(self, update: wire.Update) -> bool:
        if update.age_s > _KEEP_S.get(update.state, math.inf):
            return False
        since_s = self._clock.now_s() - max(0.0, update.age_s)
        entry = Entry(update.record, update.state, since_s)
        self._insert(entry)
        self._settle(entry)
        self._tell(update)
        return True

    def _insert(self, entry: Entry) -> None:
        name = entry.record.name
        self._entries[name] = entry
        self._entries_by_leaf.setdefault(hashtree.leaf_of(name), []).append(
            entry
        )
        self._toggle(entry)

    def _settle(self, entry: Entry) -> None:
        if entry.state in _PRESENT:
            self._directory.put(entry.record)
        else:
            record = entry.record
            self._directory.remove(record.name, record.incarnation)

    def _toggle(self, entry: Entry) -> None:
        if entry.state == LEFT:
            return
        # A suspicion is settled within seconds, one way or the other.
        state = ALIVE if entry.state in _PRESENT else entry.state
        record = entry.record
        self._tree.toggle(
            hashtree.Item(
                record.name, record.incarnation, record.revision, state
            )
        )

    def _claim(self, update: wire.Update) -> None:
        name = update.record.name
        held = self._claims.get(name)
        if held is None or _key_of(update) > _key_of(held):
            self._claims[name] = update
        for listener in self._claim_listeners:
            listener(name)

    def _is_genuine(self, update: wire.Update) -> bool:
        """Returns whether the daemon itself made a record, or counts it."""
        record = update.record
        owner = self._directory.name_of_key(record.public_key)
        genuine = (
            (update.state == LEFT) == (record.state == LEFT)
            # Another's messages would be taken for this one's.
            and (not owner or owner == record.name)
            and signing.is_signed(record)
        )
        if not genuine:
            metrics.peer_refusals("forged-record").inc()
        return genuine

    def _tell(self, update: wire.Update) -> None:
        for listener in self._listeners:
            listener(update)


def rank(state: str) -> int:
    """Returns where a state stands among the news of one revision."""
    return _RANKS.get(state, -1)


def _key_of(update: wire.Update) -> tuple[int, int, int]:
    return (*update.record.age_key, _RANKS[update.state])


def _succeeds(record: members.Record, known: members.Record) -> bool:
    return record.incarnation > known.incarnation and signing.is_signed(record)


def create_roster(
    directory: members.Directory, clock: timers.Clock, signer: signing.Signer
) -> Roster:
    """Returns a roster that knows only this daemon."""
    return Roster(directory, clock, signer)
