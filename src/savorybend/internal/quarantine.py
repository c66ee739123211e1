"""Quarantines requests that crash backend servers.

When a backend server crashes, the content of every request in flight there
becomes a suspect. One daemon of the service retries it, one copy at a time. An
answer clears it; a second crash quarantines it at all daemons of the service.
A daemon that joins or restarts is told of the suspects by the others.
"""

import asyncio
import collections
import dataclasses
import itertools
import math
import secrets
import typing

from savorybend.internal import bodies
from savorybend.internal import calls
from savorybend.internal import errors
from savorybend.internal import fingerprints
from savorybend.internal import logs
from savorybend.internal import members
from savorybend.internal import neighbours
from savorybend.internal import outcomes
from savorybend.internal import peers
from savorybend.internal import timers
from savorybend.internal.wire import requests as wire

_QUARANTINE_CRASHES = 2
# Suspects expire, so that a fixed service gets the request again. If it isn't
# fixed, this costs two more crashes.
_SUSPECT_LIFETIME_S = 3600.0
_MAX_SUSPECTS = 10_000
_MAX_TOLD_AT_ONCE = 100
# The longest wait for the trial of another copy. A popular lookup that was in
# flight by chance is cleared sooner; a request that takes longer to crash a
# backend server isn't worth a longer wait.
_TRIAL_WAIT_S = 0.5

_log = logs.get()


class _Suspect:
    """Content of requests that were in flight when a backend server crashed.

    Times are in seconds on this VM's clock.

    Attributes:
        fingerprint: Digest of the content.
        deaths: The crashes, each as the name of the daemon that saw it and
            that daemon's sequence number.
        voided: The crashes that an answer has cleared, which don't count when
            they are reported again.
        last_crash_s: When this daemon last learned of a crash.
        own_crash_s: When this VM's backend server last crashed with it in
            flight.
        trial: This daemon's trial run, if one is in progress.
        trial_over: Set when the trial run is over.
    """

    __slots__ = ("deaths", "fingerprint", "last_crash_s", "own_crash_s")
    __slots__ += ("trial", "trial_over", "voided")

    def __init__(self, fingerprint: bytes):
        self.fingerprint = fingerprint
        self.deaths: set[tuple[str, int]] = set()
        self.voided: set[tuple[str, int]] = set()
        self.last_crash_s = -math.inf
        self.own_crash_s = -math.inf
        self.trial: Run | None = None
        self.trial_over = asyncio.Event()


class Run(typing.NamedTuple):
    """A call sent to the backend server.

    Attributes:
        call: The call.
        body: Its body.
        began_s: When it was sent, on this VM's clock in seconds.
    """

    call: calls.Call
    body: bodies.Body
    began_s: float


class Parts(typing.NamedTuple):
    """Dependencies of a quarantine."""

    transport: peers.Transport
    directory: members.Directory
    clock: timers.Clock


class Quarantine:
    """The suspects that this daemon saw itself or learned of from others."""

    def __init__(self, parts: Parts):
        self._parts = parts
        # Starts at a random number, since a restarted daemon must not repeat
        # its earlier ones.
        self._sequence = itertools.count(secrets.randbits(48))
        self._suspects: collections.OrderedDict[bytes, _Suspect] = (
            collections.OrderedDict()
        )
        # Incarnations of the daemons that were told of the suspects.
        self._told: dict[str, int] = {}
        parts.directory.subscribe(self._on_member)
        parts.transport.subscribe(wire.Death, self._on_death)
        parts.transport.subscribe(wire.Cleared, self._on_cleared)

    def check(
        self, call: calls.Call, body: bodies.Body
    ) -> outcomes.Refuse | None:
        """Returns a refusal if this VM must not run a request now."""
        suspect = self._find_suspect(call, body)
        if suspect is None or not self._is_current(suspect):
            return None
        if len(suspect.deaths) >= _QUARANTINE_CRASHES:
            return outcomes.refuse(outcomes.QUARANTINED)
        return self._check_trial(suspect)

    def begin(
        self, call: calls.Call, body: bodies.Body
    ) -> Run | outcomes.Refuse:
        """Starts the run of a call, right before it is dispatched.

        Returns:
            The run, which the caller must pass to `end`, or a refusal.
        """
        refusal = self.check(call, body)
        if refusal is not None:
            return refusal
        run = Run(call, body, self._parts.clock.now_s())
        suspect = self._find_suspect(call, body)
        if suspect is not None:
            suspect.trial = run
            suspect.trial_over.clear()
        return run

    def end(self, run: Run) -> None:
        """Ends a run, whatever its result."""
        suspect = self._find_suspect(run.call, run.body)
        if suspect is not None and suspect.trial is run:
            suspect.trial = None
            suspect.trial_over.set()

    async def wait(self, call: calls.Call, body: bodies.Body) -> None:
        """Waits briefly for a trial of the same content on this VM."""
        suspect = self._find_suspect(call, body)
        if suspect is None or suspect.trial is None:
            return
        left_s = call.deadline_s - self._parts.clock.now_s()
        try:
            async with asyncio.timeout(min(left_s, _TRIAL_WAIT_S)):
                await suspect.trial_over.wait()
        except TimeoutError:
            # The caller of this method checks the suspect again and refuses the
            # copy with a time to retry.
            return

    def note_crash(self, run: Run) -> None:
        """Records that this VM's backend server crashed during a run."""
        fingerprint = fingerprints.of_content(run.call, run.body)
        known = self._suspects.get(fingerprint)
        if known is not None and run.began_s <= known.own_crash_s:
            # Another copy was in flight during the same crash, which counts
            # only once.
            return
        message = wire.Death(fingerprint, next(self._sequence))
        own = self._parts.directory.own.name
        self._on_death(own, message)
        suspect = self._suspects[fingerprint]
        suspect.own_crash_s = self._parts.clock.now_s()
        self._broadcast(message)
        _log.warning(
            "backend_server_died",
            request_id=run.call.request_id,
            client_account=run.call.client_account,
            route=run.call.route,
            deaths=len(suspect.deaths),
        )

    def note_answer(self, run: Run) -> None:
        """Records that a run was answered, which clears its content."""
        if self._find_suspect(run.call, run.body) is None:
            return
        fingerprint = fingerprints.of_content(run.call, run.body)
        deaths = sorted(self._suspects[fingerprint].deaths)
        message = wire.Cleared(fingerprint, deaths)
        self._on_cleared("", message)
        self._broadcast(message)

    def _check_trial(self, suspect: _Suspect) -> outcomes.Refuse | None:
        own = self._parts.directory.own.name
        tried_by = self._choose_trial_daemon(suspect)
        refusal = outcomes.refuse(outcomes.SUSPECT)
        if tried_by != own:
            return dataclasses.replace(refusal, tried_by=tried_by)
        if suspect.trial is not None:
            return refusal
        return None

    def _choose_trial_daemon(self, suspect: _Suspect) -> str:
        """Returns the name of the daemon that runs the trial of a suspect.

        All daemons that know the same members and crashes choose the same one
        without communication. Daemons that saw a crash are avoided.
        """
        own = self._parts.directory.own
        serving = self._parts.directory.serving(own.service)
        names = {record.name for record in serving}
        seen = {name for name, _ in suspect.deaths}
        text = suspect.fingerprint.hex()
        return max(
            names - seen or names or {own.name},
            key=lambda name: neighbours.score(text, name),
        )

    def _is_current(self, suspect: _Suspect) -> bool:
        return (
            self._parts.clock.now_s() - suspect.last_crash_s
            < _SUSPECT_LIFETIME_S
        )

    def _find_suspect(
        self, call: calls.Call, body: bodies.Body
    ) -> _Suspect | None:
        # Spares calls the cost of a digest while there are no suspects.
        if not self._suspects:
            return None
        suspect = self._suspects.get(fingerprints.of_content(call, body))
        return suspect if suspect is not None and suspect.deaths else None

    def _broadcast(self, message: wire.Death | wire.Cleared) -> None:
        for record in self._parts.directory.all():
            if self._is_told(record):
                self._send(record.name, message)

    def _is_told(self, record: members.Record) -> bool:
        own = self._parts.directory.own
        return record.service == own.service and record.name != own.name

    def _send(self, name: str, message: wire.Death | wire.Cleared) -> None:
        try:
            self._parts.transport.send(name, message)
        except errors.PeerUnreachableError as error:
            # It is told of all suspects with its next record.
            self._told.pop(name, None)
            _log.warning("death_not_told", error=str(error))

    def _on_member(self, change: members.Change) -> None:
        match change:
            case members.MemberRemoved(record=record):
                self._told.pop(record.name, None)
            case members.MemberUpdated(record=record):
                if self._told.get(record.name) == record.incarnation:
                    return
                if self._is_told(record):
                    self._told[record.name] = record.incarnation
                    self._tell_all(record.name)

    def _tell_all(self, name: str) -> None:
        now_s = self._parts.clock.now_s()
        newest = list(self._suspects.values())[-_MAX_TOLD_AT_ONCE:]
        for suspect in newest:
            age_s = now_s - suspect.last_crash_s
            for seen_by, sequence in sorted(suspect.deaths):
                self._send(
                    name,
                    wire.Death(suspect.fingerprint, sequence, seen_by, age_s),
                )

    def _on_death(self, peer: str, message: wire.Death) -> None:
        suspect = self._suspects.get(message.fingerprint)
        if suspect is None or not self._is_current(suspect):
            suspect = self._add(message.fingerprint)
        death = (message.seen_by or peer, message.sequence)
        if death in suspect.voided or death in suspect.deaths:
            return
        suspect.deaths.add(death)
        crash_s = self._parts.clock.now_s() - message.age_s
        suspect.last_crash_s = max(suspect.last_crash_s, crash_s)
        self._suspects.move_to_end(message.fingerprint)

    def _add(self, fingerprint: bytes) -> _Suspect:
        suspect = self._suspects[fingerprint] = _Suspect(fingerprint)
        self._suspects.move_to_end(fingerprint)
        if len(self._suspects) > _MAX_SUSPECTS:
            self._suspects.popitem(last=False)
        return suspect

    def _on_cleared(self, peer: str, message: wire.Cleared) -> None:
        suspect = self._suspects.get(message.fingerprint)
        if suspect is None:
            suspect = self._add(message.fingerprint)
        cleared = {(name, number) for name, number in message.deaths}
        suspect.voided |= cleared or suspect.deaths
        suspect.deaths -= suspect.voided
        suspect.own_crash_s = -math.inf
        if suspect.last_crash_s == -math.inf:
            # The crash's own report may still come.
            suspect.last_crash_s = self._parts.clock.now_s()
        suspect.trial_over.set()


def create_quarantine(parts: Parts) -> Quarantine:
    """Returns a quarantine without suspects."""
    return Quarantine(parts)
