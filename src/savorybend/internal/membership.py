"""Keeps track of the fleet's daemons with a gossip protocol.

Daemons probe their neighbours to detect failures, pass on updates by gossip,
and regularly compare what they know with a neighbour to repair lost updates.
"""

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

# Updates are collected for this long before they are sent to the neighbours,
# so that the loss of a data centre doesn't cost a message per daemon lost.
GOSSIP_DELAY_S = 0.2
_REPAIR_INTERVAL_S = 5.0
_FORGET_INTERVAL_S = 60.0


class Transport(typing.Protocol):
    """The operations that membership needs of the peer connections."""

    def send(self, peer: str, message: typing.Any) -> None:
        """Sends a message, or raises `PeerUnreachableError`."""

    def renew(self, peer: str) -> None:
        """Replaces the connection, in case the one in use is silent."""

    def subscribe(self, kind: type, handler: collections.abc.Callable) -> None:
        """Calls `handler(peer, message)` for each message of a kind."""


class Configuration(typing.Protocol):
    """Exchanges configuration versions in the messages of membership."""

    def standing(self) -> wire.ConfigurationStatus:
        """Returns this daemon's configuration version and its age."""

    def on_standing(
        self, peer: str, standing: wire.ConfigurationStatus
    ) -> None:
        """Handles the configuration version that a peer reports."""

    def on_fresh_standing(
        self, standing: wire.ConfigurationStatus, asked_s: float
    ) -> None:
        """Handles the version that a peer reports in reply to a probe.

        Args:
            standing: The peer's configuration version and its age.
            asked_s: When the probe was sent, on this daemon's clock.
        """


class Parts(typing.NamedTuple):
    """Dependencies of `Membership`."""

    directory: members.Directory
    transport: Transport
    timers: timers.TimerService
    rng: random.Random
    configuration: Configuration
    signer: signing.Signer


class Membership:
    """Failure detection, gossip and repair of one daemon."""

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
        """The known state of each daemon."""
        return self._roster

    @property
    def neighbours(self) -> tuple[members.Record, ...]:
        """The daemons that this one probes and sends updates to."""
        return self._neighbours.all()

    def start(self) -> None:
        """Starts the periodic probes, repairs and clean-up."""
        service = self._parts.timers
        self._subscriptions = [
            service.every(probing.PROBE_INTERVAL_S, self._prober.probe_next),
            service.every(_REPAIR_INTERVAL_S, self._repair_one),
            service.every(_FORGET_INTERVAL_S, self._roster.forget_old),
        ]

    def stop(self) -> None:
        """Cancels the periodic work."""
        for subscription in self._subscriptions:
            subscription.cancel()

    def set_state(self, state: str) -> None:
        """Announces `members.SERVING` or `members.DRAINING` to the fleet."""
        if self._parts.directory.own.state != state:
            self._roster.announce(state=state)

    def leave(self) -> None:
        """Sends the neighbours at once that this daemon is leaving."""
        update = self._roster.leave()
        self._tell_neighbours([update])

    def apply_updates(
        self, updates: collections.abc.Iterable[wire.Update]
    ) -> None:
        """Applies updates, such as those in a reply to a join request."""
        # A new daemon receives the whole fleet's records, which the fleet
        # knows already: they aren't passed on.
        self._gossip_suppressed = len(self._parts.directory.all()) == 1
        for update in updates:
            self._roster.apply(update)
        self._gossip_suppressed = False

    def announce_standing(self) -> None:
        """Sends the neighbours this daemon's configuration version."""
        self._tell_neighbours([])

    def repair_with(self, peer: str) -> None:
        """Starts to exchange the updates that this daemon or a peer lacks."""
        try:
            self._repair.start(peer)
        except errors.PeerUnreachableError:
            # The next interval tries another neighbour.
            return

    def _listen(self) -> None:
        handlers = {
            wire.Probe: self._on_probe,
            wire.ProbeReply: self._on_reply,
            wire.IndirectProbe: self._prober.probe_for,
            wire.IndirectProbeReply: self._on_help,
            wire.Gossip: self._on_gossip,
            wire.NodeHashes: self._on_node_hashes,
            wire.Leaf: self._on_leaf,
        }
        for kind, handler in handlers.items():
            self._parts.transport.subscribe(kind, handler)

    def _on_probe(self, peer: str, message: wire.Probe) -> None:
        self._take_from(peer, message)
        whole, compact = compactupdates.split_updates(self._updates_for(peer))
        reply = wire.ProbeReply(
            message.sequence, whole, self._standing(), compact
        )
        self._try_send(peer, reply)

    def _on_reply(self, peer: str, message: wire.ProbeReply) -> None:
        self._take_from(peer, message)
        asked_s = self._prober.take_reply(peer, message.sequence)
        if asked_s is not None:
            self._parts.configuration.on_fresh_standing(
                message.standing, asked_s
            )

    def _on_help(self, peer: str, message: wire.IndirectProbeReply) -> None:
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
        for compact in message.compact_updates:
            update = compactupdates.restore(self._roster, compact)
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
        whole, compact = compactupdates.split_updates(self._updates_for(target))
        return wire.Probe(sequence, whole, self._standing(), compact)

    def _create_gossip(self, updates: list[wire.Update]) -> wire.Gossip:
        whole, compact = compactupdates.split_updates(updates)
        return wire.Gossip(whole, self._standing(), compact)

    def _create_whole(self, updates: list[wire.Update]) -> wire.Gossip:
        # A peer that needs the repair may lack the record altogether, and
        # then can't expand a compact update.
        return wire.Gossip(updates, self._standing())

    def _updates_for(self, peer: str) -> list[wire.Update]:
        count = len(self._parts.directory.all())
        updates = self._update_queue.take_repeated(count)
        known = self._roster.get(peer)
        if known is not None and known.state != rosters.ALIVE:
            # The suspected daemon learns of the suspicion directly and can
            # refute it at once.
            updates.append(self._roster.update_of(known))
        return updates

    def _standing(self) -> wire.ConfigurationStatus:
        return self._parts.configuration.standing()

    def _try_send(self, peer: str, message: typing.Any) -> None:
        try:
            self._parts.transport.send(peer, message)
        except errors.PeerUnreachableError:
            # The probes detect whether the peer is dead.
            return


def create_membership(parts: Parts) -> Membership:
    """Returns the membership of the daemon that owns `parts.directory`."""
    return Membership(parts)
