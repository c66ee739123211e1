"""Fakes for unit tests, driven by a manual clock."""

import functools
import hashlib
import random

from savorybend.internal import bootstrap
from savorybend.internal import configdistribution
from savorybend.internal import configstore
from savorybend.internal import errors
from savorybend.internal import members
from savorybend.internal import membership
from savorybend.internal import signing
from savorybend.internal import timers
from savorybend.internal.wire import codec
from savorybend.internal.wire import membership as wire


class ManualClock:
    """A clock that moves only by `advance`."""

    def __init__(self, now_s: float = 1000.0):
        self._now_s = now_s

    def now_s(self) -> float:
        return self._now_s

    def advance(self, seconds: float) -> None:
        self._now_s += seconds


def create_clock() -> ManualClock:
    return ManualClock()


class Fleet:
    """Members that exchange encoded messages under one manual clock.

    Attributes:
        cut: Pairs of names between which messages are dropped.
        frozen: Names whose messages and timers are suspended.
        announced: The records on the platform, or None during an outage.
    """

    def __init__(self, seed: int = 1, delay_s: float = 0.01):
        self.clock = create_clock()
        self.delay_s = delay_s
        self.members: dict[str, Member] = {}
        self.cut: set[frozenset[str]] = set()
        self.frozen: set[str] = set()
        self.announced: dict[str, members.Record] | None = None
        self.sent_bytes = 0
        self.sent_messages = 0
        self._rng = random.Random(seed)
        self._timers = timers.create_manual_timer_service(self.clock)

    def add(self, name: str, data_centre: str = "east", incarnation: int = 1):
        """Starts a member that knows no others."""
        member = Member(self, name, data_centre, incarnation, self._rng)
        self.members[name] = member
        return member

    def join(self, name: str, other: str):
        """Joins a member through another, as the admin API does."""
        joiner, host = self.members[name], self.members[other]
        for _ in range(2):
            own = joiner.directory.own
            known = joiner.membership.roster.get(other)
            request = wire.JoinRequest(
                own,
                True,
                [joiner.membership.roster.update_of(known)]
                if known and known.state == "dead"
                else [],
            )
            reply = host.bootstrap.answer(request)
            joiner.membership.apply_updates(reply.updates)
            if joiner.directory.own == own:
                break
        joiner.membership.repair_with(other)

    def part(self, left, right):
        """Partitions two groups of members from each other."""
        self.cut |= {frozenset((a, b)) for a in left for b in right}

    def advance(self, seconds: float, step_s: float = 0.05):
        """Advances the clock in steps and runs due timers."""
        for _ in range(round(seconds / step_s)):
            self.clock.advance(step_s)
            self._timers.run_due()
            for name, member in self.members.items():
                if name not in self.frozen:
                    member.run_due()

    def carry(self, sender: str, receiver: str, data: bytes):
        """Delivers a message after the delay, unless the path is cut."""
        self.sent_bytes += len(data)
        self.sent_messages += 1
        self._timers.after(
            self.delay_s, lambda: self._deliver(sender, receiver, data)
        )

    def _deliver(self, sender: str, receiver: str, data: bytes):
        target = self.members.get(receiver)
        if target and frozenset((sender, receiver)) not in self.cut:
            target.inbox.append((sender, data))


class Member:
    """One member of a `Fleet`: real components over a fake transport."""

    def __init__(self, fleet, name, data_centre, incarnation, rng):
        self._fleet = fleet
        self._name = name
        self._handlers = {}
        self.inbox = []
        self.timers = timers.create_manual_timer_service(fleet.clock)
        self.directory = members.create_directory(
            create_record(name, data_centre, incarnation)
        )
        self.store = configstore.create_store(fleet.clock)
        self.distributor = configdistribution.create_distributor(
            self.store, self, self.timers
        )
        self.membership = membership.create_membership(
            membership.Parts(
                self.directory,
                self,
                self.timers,
                rng,
                self.distributor,
                create_signer(name, incarnation),
            )
        )
        self.membership.roster.subscribe_claims(self._on_claim)
        self.bootstrap = bootstrap.create_bootstrap(
            bootstrap.Parts(
                self.membership, self.directory, None, None, (), rng
            )
        )
        self.store.subscribe(lambda _: self.membership.announce_standing())
        self.membership.start()

    @property
    def name(self):
        return self._name

    def send(self, peer, message):
        if not self.directory.get(peer):
            raise errors.PeerUnreachableError(peer)
        self._fleet.carry(self._name, peer, codec.encode(message))

    def renew(self, peer):
        """Does nothing: the fake connections don't go silent."""

    def subscribe(self, kind, handler):
        self._handlers[kind] = handler

    def _on_claim(self, name):
        roster = self.membership.roster
        if self._fleet.announced is None:
            roster.suspect_holder(name)
        else:
            roster.resolve_claim(name, self._fleet.announced.get(name))

    def run_due(self):
        """Handles received messages and runs due timers."""
        inbox, self.inbox = self.inbox, []
        for sender, data in inbox:
            # Messages from unannounced senders are dropped.
            if self.directory.get(sender):
                message = codec.decode(data)
                self._handlers[type(message)](sender, message)
        self.timers.run_due()

    def sees(self):
        """Returns the names of the daemons that it considers alive."""
        return {record.name for record in self.directory.all()}


@functools.cache
def create_signer(name, incarnation=1):
    """Returns the signer of one incarnation of a daemon."""
    seed = hashlib.sha256(f"{name}-{incarnation}".encode()).digest()
    return signing.create_signer(seed)


def sign(record):
    """Returns a record signed by its daemon."""
    return create_signer(record.name, record.incarnation).sign(record)


@functools.cache
def create_record(name, data_centre="east", incarnation=1):
    """Returns a daemon's signed announcement record."""
    host = f"127.0.{sum(name.encode()) % 250}.1"
    record = members.Record(
        name=name,
        incarnation=incarnation,
        data_centre=data_centre,
        service="back",
        call_address=f"{host}:7000",
        peer_address=f"{host}:7002",
        admin_address=f"{host}:7003",
        public_key=f"{name}-{incarnation}".ljust(40, "k"),
    )
    return sign(record)


def create_fleet(count: int, centres=("east",), **options) -> Fleet:
    """Returns members, spread over data centres, that know each other."""
    fleet = Fleet(**options)
    for number in range(count):
        fleet.add(f"m{number}", centres[number % len(centres)])
    everyone = [m.directory.own for m in fleet.members.values()]
    updates = [wire.Update(record, "alive") for record in everyone]
    for member in fleet.members.values():
        member.membership.apply_updates(updates)
    return fleet
