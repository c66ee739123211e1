"""Failure detection by direct probes and by indirect ones through others."""

import collections.abc
import itertools
import random
import typing

from savorybend.internal import errors
from savorybend.internal import members
from savorybend.internal import neighbours
from savorybend.internal import roster as rosters
from savorybend.internal import timers
from savorybend.internal.wire import membership as wire

PROBE_INTERVAL_S = 1.0
# Far above a round trip between regions and a pause of the event loop.
REPLY_TIMEOUT_S = 0.5
# Probes through three other daemons rule out that only the path between this
# daemon and the target is broken.
_INDIRECT_PROBES = 3
_WIDER_PROBES = 3
# Time for the suspected daemon to learn of the suspicion and for its
# refutation to arrive.
SUSPICION_S = 3.0
# After a pause of this daemon for this long, missing replies don't show that
# the other daemons failed.
_PAUSE_S = 2.5

Send = collections.abc.Callable[[str, typing.Any], None]


class Parts(typing.NamedTuple):
    """Dependencies of `Prober`.

    Attributes:
        roster: The known state of each daemon.
        neighbours: The daemons to probe.
        timers: Calls back when a reply is overdue.
        rng: Chooses the daemons that send indirect probes.
        send: Sends a message; may raise `PeerUnreachableError`.
        renew: Replaces the connection to a daemon.
        create_probe: Returns the probe of a target with a sequence number.
    """

    roster: rosters.Roster
    neighbours: neighbours.Neighbours
    timers: timers.TimerService
    rng: random.Random
    send: Send
    renew: collections.abc.Callable[[str], None]
    create_probe: collections.abc.Callable[[str, int], wire.Probe]


class _Pending(typing.NamedTuple):
    """A probe without a reply.

    Attributes:
        target: The probed daemon.
        sent_s: When the probe was sent, on this daemon's clock.
        requester: The daemon that requested an indirect probe; empty for a
            direct one.
        requester_sequence: The sequence number of the requester's own probe.
    """

    target: str
    sent_s: float
    requester: str = ""
    requester_sequence: int = 0


class Prober:
    """Probes one neighbour at a time and expires suspicions."""

    def __init__(self, parts: Parts):
        self._parts = parts
        self._sequences = itertools.count(1)
        self._pending: dict[int, _Pending] = {}
        self._suspected_s: dict[str, float] = {}
        self._turn = 0
        self._last_s = parts.timers.clock.now_s()
        parts.roster.subscribe(self._on_update)

    def probe_next(self) -> None:
        """Probes the next neighbour; called every `PROBE_INTERVAL_S`."""
        now_s = self._parts.timers.clock.now_s()
        if now_s - self._last_s > _PAUSE_S:
            self._reset_after_pause(now_s)
        self._last_s = now_s
        self._settle(now_s)
        chosen = self._parts.neighbours.all()
        if chosen:
            self._turn = (self._turn + 1) % len(chosen)
            self._probe(_Pending(chosen[self._turn].name, now_s))

    def take_reply(self, peer: str, sequence: int) -> float | None:
        """Handles the reply to a probe.

        Returns:
            When the probe was sent, or None if it isn't pending.
        """
        pending = self._pending.get(sequence)
        if pending is None or pending.target != peer:
            return None
        del self._pending[sequence]
        if pending.requester:
            reply = wire.IndirectProbeReply(pending.requester_sequence)
            self._try_send(pending.requester, reply)
        return pending.sent_s

    def take_reply_for(self, sequence: int) -> None:
        """Handles the report that an indirect probe was answered."""
        self._pending.pop(sequence, None)

    def probe_for(self, peer: str, message: wire.IndirectProbe) -> None:
        """Probes a daemon on behalf of a peer that can't reach it."""
        now_s = self._parts.timers.clock.now_s()
        self._probe(_Pending(message.target, now_s, peer, message.sequence))

    def _probe(self, pending: _Pending) -> None:
        sequence = next(self._sequences)
        self._pending[sequence] = pending
        probe = self._parts.create_probe(pending.target, sequence)
        self._try_send(pending.target, probe)
        self._parts.timers.after(
            REPLY_TIMEOUT_S, lambda: self._on_probe_timeout(sequence)
        )

    def _on_probe_timeout(self, sequence: int) -> None:
        pending = self._pending.get(sequence)
        if pending is None:
            return
        if pending.requester:
            del self._pending[sequence]
            return
        # The target may be alive behind a silent connection, which an idle
        # one can become, and a small fleet may have no other daemon to probe
        # it: the probe is repeated over a new connection.
        self._parts.renew(pending.target)
        probe = self._parts.create_probe(pending.target, sequence)
        self._try_send(pending.target, probe)
        for helper in self._helpers(pending.target):
            self._try_send(helper, wire.IndirectProbe(sequence, pending.target))
        # The indirect probe may take its whole timeout.
        self._parts.timers.after(
            2 * REPLY_TIMEOUT_S, lambda: self._on_indirect_timeout(sequence)
        )

    def _on_indirect_timeout(self, sequence: int) -> None:
        pending = self._pending.pop(sequence, None)
        if pending is None:
            return
        entry = self._parts.roster.get(pending.target)
        if entry is not None and entry.state == rosters.ALIVE:
            self._parts.roster.apply(wire.Update(entry.record, rosters.SUSPECT))
            self._probe_data_centre(entry.record)

    def _probe_data_centre(self, silent: members.Record) -> None:
        # This daemon has one neighbour in each other data centre. If that one
        # doesn't answer, the whole data centre may be cut off, which probes
        # of one neighbour after another would take minutes to detect.
        if silent.data_centre == self._parts.roster.own.data_centre:
            return
        others = [
            entry.record.name
            for entry in self._parts.roster.in_state(rosters.ALIVE)
            if entry.record.data_centre == silent.data_centre
        ]
        now_s = self._parts.timers.clock.now_s()
        count = min(_WIDER_PROBES, len(others))
        for name in self._parts.rng.sample(others, count):
            self._probe(_Pending(name, now_s))

    def _helpers(self, target: str) -> list[str]:
        names = [
            record.name
            for record in self._parts.neighbours.all()
            if record.name != target
        ]
        return self._parts.rng.sample(names, min(_INDIRECT_PROBES, len(names)))

    def _on_update(self, update: wire.Update) -> None:
        name = update.record.name
        if update.state == rosters.SUSPECT:
            now_s = self._parts.timers.clock.now_s()
            self._suspected_s.setdefault(name, now_s)
        else:
            self._suspected_s.pop(name, None)

    def _settle(self, now_s: float) -> None:
        for name, since_s in list(self._suspected_s.items()):
            if now_s - since_s >= SUSPICION_S:
                self._parts.roster.expire(name)

    def _reset_after_pause(self, now_s: float) -> None:
        # While this daemon was paused it read neither replies nor refutations.
        self._pending.clear()
        for name in self._suspected_s:
            self._suspected_s[name] = now_s

    def _try_send(self, peer: str, message: typing.Any) -> None:
        try:
            self._parts.send(peer, message)
        except errors.PeerUnreachableError:
            # The missing reply has the same effect.
            return


def create_prober(parts: Parts) -> Prober:
    """Returns a prober without pending probes."""
    return Prober(parts)
