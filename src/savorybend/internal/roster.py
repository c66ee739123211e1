"""The state of each daemon of the fleet, dead and departed ones included."""

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

# Within one revision of a record, a state is only replaced by one of a higher
# rank, so that the order in which updates arrive doesn't matter.
_RANKS = {ALIVE: 0, SUSPECT: 1, DEAD: 2, LEFT: 3}
_TRIGGERS = {
    ALIVE: "announce",
    SUSPECT: "suspect",
    DEAD: "expire",
    LEFT: "leave",
}
_PRESENT = frozenset({ALIVE, SUSPECT})

# Entries of departed daemons are kept for longer than updates of an older
# revision can still arrive. A region may be cut off for hours; entries of dead
# daemons are kept for longer than that, so that the daemons are found again
# without an operator.
_RETENTION_S = {LEFT: 600.0, DEAD: 3 * 86_400.0}


class Entry(msgspec.Struct):
    """The known state of one daemon.

    Attributes:
        record: Its newest known record.
        state: A state of charts/member.json.
        since_s: When it entered this state, on this daemon's clock.
    """

    record: members.Record
    state: str
    since_s: float

    @property
    def key(self) -> tuple[int, int, int]:
        """Sort key that orders entries of one daemon from old to new."""
        return (*self.record.age_key, _RANKS[self.state])


Listener = collections.abc.Callable[[wire.Update], None]
ClaimListener = collections.abc.Callable[[str], None]
RecordListener = collections.abc.Callable[[members.Record], None]


class Roster:
    """Tracks each daemon's state and updates the directory accordingly."""

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
        # The newest update of each name that was signed with another key
        # while the daemon that holds the name is present.
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
        """Hash tree over the entries, departed daemons not included."""
        return self._tree

    @property
    def own(self) -> members.Record:
        """This daemon's own record."""
        return self._directory.own

    def subscribe(self, listener: Listener) -> None:
        """Registers `listener` for each update that is to be passed on."""
        self._listeners.append(listener)

    def subscribe_replaced(
        self, listener: collections.abc.Callable[[], None]
    ) -> None:
        """Registers `listener` for a later start under this daemon's name."""
        self._replaced_listeners.append(listener)

    def subscribe_claims(self, listener: ClaimListener) -> None:
        """Registers `listener` for names claimed with another signing key."""
        self._claim_listeners.append(listener)

    def subscribe_forgotten(self, listener: RecordListener) -> None:
        """Registers `listener` for records of dead daemons when they expire."""
        self._forgotten_listeners.append(listener)

    def get(self, name: str) -> Entry | None:
        """Returns a daemon's entry, or None if the daemon is unknown."""
        return self._entries.get(name)

    def entries(self) -> collections.abc.Collection[Entry]:
        """Returns the entries of all daemons, this one included."""
        return self._entries.values()

    def entries_in_leaf(self, leaf: str) -> list[Entry]:
        """Returns the entries that belong to a leaf of the hash tree."""
        return self._entries_by_leaf.get(leaf, [])

    def in_state(self, state: str) -> list[Entry]:
        """Returns the entries in a state."""
        return [e for e in self._entries.values() if e.state == state]

    def update_of(self, entry: Entry) -> wire.Update:
        """Returns the update that describes an entry in a message."""
        age_s = self._clock.now_s() - entry.since_s
        return wire.Update(entry.record, entry.state, age_s)

    def apply(self, update: wire.Update) -> bool:
        """Applies an update if it is newer than what is known.

        Returns:
            Whether the update was applied.
        """
        if update.state not in _RANKS:
            return False
        if update.record.name == self.own.name:
            return self._apply_own(update)
        known = self._entries.get(update.record.name)
        if known is None:
            return self._is_genuine(update) and self._add(update)
        if update.state == DEAD and known.state in _PRESENT:
            # Another daemon declared this one dead, perhaps from the other
            # side of a healed partition. It is only suspected, which leaves
            # it time for a refutation.
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
        """Returns whether a name is claimed with another signing key."""
        return name in self._claims

    def resolve_claim(
        self, name: str, announced: members.Record | None
    ) -> None:
        """Accepts or rejects a claim by the record on the platform.

        Args:
            name: The claimed name.
            announced: The name's record on the platform, if there is one.
        """
        claim = self._claims.pop(name, None)
        known = self._entries.get(name)
        if claim is None or known is None:
            return
        if announced is None or not _succeeds(announced, known.record):
            metrics.peer_refusals("claimed-name").inc()
        elif name == self.own.name:
            # The other daemons now accept only the key of the later start.
            for listener in self._replaced_listeners:
                listener()
        else:
            if claim.record.signing_key != announced.signing_key:
                claim = wire.Update(announced, ALIVE)
            self._move(known, claim)

    def suspect_holder(self, name: str) -> None:
        """Suspects the holder of a claimed name, which may refute that."""
        known = self._entries.get(name)
        if known is not None and name in self._claims:
            self.apply(wire.Update(known.record, SUSPECT))

    def expire(self, name: str) -> bool:
        """Declares a daemon dead by this daemon's own failure detection.

        Returns:
            Whether the daemon was present before.
        """
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
        self._notify(update)
        self._review_claim(known)
        return True

    def _review_claim(self, known: Entry) -> None:
        claim = self._claims.get(known.record.name)
        if claim is not None and known.state not in _PRESENT:
            del self._claims[known.record.name]
            self.apply(claim)

    def announce(self, **fields: typing.Any) -> None:
        """Publishes a new revision of this daemon's own record."""
        self._announce(self.own.revision + 1, fields)

    def leave(self) -> wire.Update:
        """Publishes and returns the update that this daemon has left."""
        self._leaving = True
        revision = self.own.revision + 1
        record = msgspec.structs.replace(
            self.own, revision=revision, state=LEFT
        )
        # The state is part of the signed record, since a departure takes
        # effect without a suspicion that the daemon could refute.
        update = wire.Update(self._signer.sign(record), LEFT)
        self._notify(update)
        return update

    def forget_old(self) -> None:
        """Removes entries whose retention time has passed."""
        now_s = self._clock.now_s()
        for name, entry in list(self._entries.items()):
            if now_s - entry.since_s > _RETENTION_S.get(entry.state, math.inf):
                self._toggle(entry)
                del self._entries[name]
                self._entries_by_leaf[hashtree.leaf_of(name)].remove(entry)
                self._tell_forgotten(entry)

    def _tell_forgotten(self, entry: Entry) -> None:
        if entry.state == DEAD:
            for listener in self._forgotten_listeners:
                listener(entry.record)

    def _apply_own(self, update: wire.Update) -> bool:
        own = self.own
        accused = update.state != ALIVE or update.record != own
        if self._leaving or not accused:
            return False
        if update.record.age_key < own.age_key:
            # The sender hasn't received this daemon's newer record, which
            # refutes the suspicion, and is sent it again.
            self._notify(wire.Update(own, ALIVE))
            return False
        if update.record != own and not self._is_genuine(update):
            return False
        if update.record.signing_key != own.signing_key:
            if update.record.incarnation > own.incarnation:
                self._claim(update)
            return False
        # Refutes the suspicion: only this daemon can raise its revision, and
        # a newer revision outranks any state of an older one.
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
        self._notify(wire.Update(record, ALIVE))

    def _add(self, update: wire.Update) -> bool:
        if update.age_s > _RETENTION_S.get(update.state, math.inf):
            return False
        since_s = self._clock.now_s() - max(0.0, update.age_s)
        entry = Entry(update.record, update.state, since_s)
        self._insert(entry)
        self._settle(entry)
        self._notify(update)
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
        # Suspected daemons count as alive, since a suspicion is refuted or
        # confirmed within seconds.
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
        """Returns whether a record is authentic; counts it if it isn't."""
        record = update.record
        owner = self._directory.name_of_key(record.public_key)
        genuine = (
            (update.state == LEFT) == (record.state == LEFT)
            # Messages are attributed to a daemon by its public key, so two
            # daemons must not share one.
            and (not owner or owner == record.name)
            and signing.is_signed(record)
        )
        if not genuine:
            metrics.peer_refusals("forged-record").inc()
        return genuine

    def _notify(self, update: wire.Update) -> None:
        for listener in self._listeners:
            listener(update)


def rank(state: str) -> int:
    """Returns a state's rank among those of one revision; unknown is -1."""
    return _RANKS.get(state, -1)


def _key_of(update: wire.Update) -> tuple[int, int, int]:
    return (*update.record.age_key, _RANKS[update.state])


def _succeeds(record: members.Record, known: members.Record) -> bool:
    return record.incarnation > known.incarnation and signing.is_signed(record)


def create_roster(
    directory: members.Directory, clock: timers.Clock, signer: signing.Signer
) -> Roster:
    """Returns a roster with an entry of only this daemon."""
    return Roster(directory, clock, signer)
