"""Follows the other daemons of the fleet, from peer to peer."""

import collections.abc
import random
import typing

from savorybend.internal import compactupdates
from savorybend.internal import errors
from savorybend.internal import members
from savorybend.internal import neighbours
from savorybend.internal import probing
from savorybend.internal import repair as repairs
from savorybend.internal import roster as rosters
from savorybend.internal import signing
from savorybend.internal import timers
from savorybend.internal import updatequeue
from savorybend.internal.wire import membership as wire

# News gathers for so long before the neighbours are told, so that the loss of
# a data centre doesn't cost a message for each of its daemons.
GOSSIP_DELAY_S = 0.2
_REPAIR_INTERVAL_S = 5.0
_FORGET_INTERVAL_S = 60.0


class Transport(typing.Protocol):
    """What membership needs of the connections between daemons."""

    def send(self, peer: str, message: typing.Any) -> None:
        """Sends a message, or raises `PeerUnreachableError`."""

    def renew(self, peer: str) -> None:
        """Goes over to a new connection, in case the one in use is silent."""

    def subscribe(self, kind: type, handler: collections.abc.Callable) -> None:
        """Calls `handler(peer, message)` for each message of a kind."""


class Configuration(typing.Protocol):
    """What membership carries for the spread of configurations."""

    def standing(self) -> wire.Standing:
        """Returns which configuration this daemon has."""

    def on_standing(self, peer: str, standing: wire.Standing) -> None:
        """Takes note of what a peer has."""

    def on_fresh_standing(
        self, standing: wire.Standing, asked_s: float
    ) -> None:
        """Takes note of what a peer had after it was asked."""


class Parts(typing.NamedTuple):
    """What membership is made of."""

    directory: members.Directory
    transport: Transport
    timers: timers.TimerService
    rng: random.Random
    configuration: Configuration
    signer: signing.Signer


class Membership:
    """Probes, rumours and repair of one daemon."""

    def __init__(self, parts: Parts):
        self._parts = parts
        clock = parts.timers.clock
        self._roster = rosters.create_roster(
            parts.directory, clock, parts.signer
        )
        self._neighbours = neighbours.create_neighbours(parts.directory)
        self._update_queue = updatequeue.create_update_queue()
        self._prober = probing.create_prober(
            probing.Parts(
                self._roster,
                self._neighbours,
                parts.timers,
                parts.rng,
                parts.transport.send,
                parts.transport.renew,
                self._create_probe,
            )
        )
        self._repair = repairs.create_repair(
            self._roster, parts.transport.send, self._create_whole
        )
        self._round_due = False
        self._gossip_suppressed = False
        self._subscriptions: list[timers.Subscription] = []
        self._roster.subscribe(self._on_update)
        self._listen()

    @property
    def roster(self) -> rosters.Roster:
        """What is known of each daemon."""
        return self._roster

    @property
    def neighbours(self) -> tuple[members.Record, ...]:
        """The daemons that this one keeps in touch with."""
        return self._neighbours.all()

    def start(self) -> None:
        """Begins to probe."""
        service = self._parts.timers
        self._subscriptions = [
            service.every(probing.PROBE_INTERVAL_S, self._prober.probe_next),
            service.every(_REPAIR_INTERVAL_S, self._repair_one),
            service.every(_FORGET_INTERVAL_S, self._roster.forget_old),
        ]

    def stop(self) -> None:
        """Ends the probes."""
        for subscription in self._subscriptions:
            subscription.cancel()

    def set_state(self, state: str) -> None:
        """Tells the fleet whether this daemon takes new work."""
        if self._parts.directory.own.state != state:
            self._roster.announce(state=state)

    def leave(self) -> None:
        """Tells the neighbours at once that this daemon is leaving."""
        update = self._roster.leave()
        self._tell_neighbours([update])

    def apply_updates(
        self, updates: collections.abc.Iterable[wire.Update]
    ) -> None:
        """Takes news of daemons."""
        # A new daemon is told of the whole fleet, which knows all of it.
        self._gossip_suppressed = len(self._parts.directory.all()) == 1
        for update in updates:
            self._roster.apply(update)
        self._gossip_suppressed = False

    def announce_standing(self) -> None:
        """Tells the neighbours which configuration this daemon has."""
        self._tell_neighbours([])

    def repair_with(self, peer: str) -> None:
        """Compares what is known of the fleet with a peer."""
        try:
            self._repair.start(peer)
        except errors.PeerUnreachableError:
            # Another one is asked at the next interval.
            return

    def _listen(self) -> None:
        handlers = {
            wire.Probe: self._on_probe,
            wire.ProbeReply: self._on_reply,
            wire.ProbeFor: self._prober.probe_for,
            wire.ProbeForReply: self._on_help,
            wire.Gossip: self._on_gossip,
            wire.NodeHashes: self._on_node_hashes,
            wire.Leaf: self._on_leaf,
        }
        for kind, handler in handlers.items():
            self._parts.transport.subscribe(kind, handler)

    def _on_probe(self, peer: str, message: wire.Probe) -> None:
        self._take_from(peer, message)
        whole, brief = compactupdates.split_updates(self._updates_for(peer))
        reply = wire.ProbeReply(
            message.sequence, whole, self._standing(), brief
        )
        self._try_send(peer, reply)

    def _on_reply(self, peer: str, message: wire.ProbeReply) -> None:
        self._take_from(peer, message)
        asked_s = self._prober.take_reply(peer, message.sequence)
        if asked_s is not None:
            self._parts.configuration.on_fresh_standing(
                message.standing, asked_s
            )

    def _on_help(self, peer: str, message: wire.ProbeForReply) -> None:
        self._prober.take_reply_for(message.sequence)

    def _on_gossip(self, peer: str, message: wire.Gossip) -> None:
        self._take_from(peer, message)

    def _on_node_hashes(self, peer: str, message: wire.NodeHashes) -> None:
        try:
            self._repair.on_node_hashes(peer, message)
        except errors.PeerUnreachableError:
            return

    def _on_leaf(self, peer: str, message: wire.Leaf) -> None:
        try:
            self._repair.on_leaf(peer, message)
        except errors.PeerUnreachableError:
            return

    def _take_from(
        self, peer: str, message: wire.Probe | wire.ProbeReply | wire.Gossip
    ) -> None:
        self.apply_updates(message.updates)
        for brief in message.compact_updates:
            update = compactupdates.restore(self._roster, brief)
            if update is not None:
                self._roster.apply(update)
        self._parts.configuration.on_standing(peer, message.standing)

    def _on_update(self, update: wire.Update) -> None:
        if self._gossip_suppressed:
            return
        self._update_queue.add(update)
        self._plan_round()

    def _plan_round(self) -> None:
        if not self._round_due:
            self._round_due = True
            self._parts.timers.after(GOSSIP_DELAY_S, self._run_round)

    def _run_round(self) -> None:
        self._round_due = False
        self._tell_neighbours(self._update_queue.take_round())
        if self._update_queue.fresh:
            self._plan_round()

    def _tell_neighbours(self, updates: list[wire.Update]) -> None:
        message = self._create_gossip(updates)
        for record in self._neighbours.all():
            self._try_send(record.name, message)

    def _repair_one(self) -> None:
        chosen = self._neighbours.all()
        if chosen:
            self.repair_with(self._parts.rng.choice(chosen).name)

    def _create_probe(self, target: str, sequence: int) -> wire.Probe:
        whole, brief = compactupdates.split_updates(self._updates_for(target))
        return wire.Probe(sequence, whole, self._standing(), brief)

    def _create_gossip(self, updates: list[wire.Update]) -> wire.Gossip:
        whole, brief = compactupdates.split_updates(updates)
        return wire.Gossip(whole, self._standing(), brief)

    def _create_whole(self, updates: list[wire.Update]) -> wire.Gossip:
        # Whoever needs the repair may lack the record altogether.
        return wire.Gossip(updates, self._standing())

    def _updates_for(self, peer: str) -> list[wire.Update]:
        count = len(self._parts.directory.all())
        updates = self._update_queue.take_repeated(count)
        known = self._roster.get(peer)
        if known is not None and known.state != rosters.ALIVE:
            # The accused hears of it first-hand and can speak up at once.
            updates.append(self._roster.update_of(known))
        return updates

    def _standing(self) -> wire.Standing:
        return self._parts.configuration.standing()

    def _try_send(self, peer: str, message: typing.Any) -> None:
        try:
            self._parts.transport.send(peer, message)
        except errors.PeerUnreachableError:
            # Probes find out what became of it.
            return


def create_membership(parts: Parts) -> Membership:
    """Returns the membership of the daemon that owns the directory."""
    return Membership(parts)
