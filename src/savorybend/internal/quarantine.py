"""Keeps a request that crashes backend servers away from the next ones.

When a backend server dies, every request in flight there is a suspect. One
daemon of the service tries it again, one copy at a time; an answer clears it,
a second death quarantines it at all daemons of the service.
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

_MOST_DEATHS = 2
# A mended service gets another chance then, at the cost of two more deaths.
_REMEMBERED_S = 3600.0
_MOST_SUSPECTS = 10_000
# A popular lookup that was there by chance is cleared sooner; what crashes a
# backend server slowly isn't worth a longer wait.
_PATIENCE_S = 0.5

_log = logs.get()


class _Suspect:
    """Content of requests that backend servers died under.

    Attributes:
        fingerprint: Digest of the content.
        deaths: Who saw them, and the number that each gave its own.
        last_s: When the last one was heard of.
        own_s: When this VM's backend server last died under it.
        trial: The run that this daemon tries it with.
        trial_over: Set when that run is over.
    """

    __slots__ = ("deaths", "fingerprint", "last_s", "own_s")
    __slots__ += ("trial", "trial_over")

    def __init__(self, fingerprint: bytes):
        self.fingerprint = fingerprint
        self.deaths: set[tuple[str, int]] = set()
        self.last_s = 0.0
        self.own_s = -math.inf
        self.trial: Run | None = None
        self.trial_over = asyncio.Event()


class Run(typing.NamedTuple):
    """A call that the backend server was given.

    Attributes:
        call: The call.
        body: Its body.
        began_s: When, on this VM's clock.
    """

    call: calls.Call
    body: bodies.Body
    began_s: float


class Parts(typing.NamedTuple):
    """What a quarantine is made of."""

    transport: peers.Transport
    directory: members.Directory
    clock: timers.Clock


class Quarantine:
    """The suspects that this daemon saw or heard of."""

    def __init__(self, parts: Parts):
        self._parts = parts
        # A daemon that starts anew must not repeat its earlier numbers.
        self._sequence = itertools.count(secrets.randbits(48))
        self._suspects: collections.OrderedDict[bytes, _Suspect] = (
            collections.OrderedDict()
        )
        parts.transport.subscribe(wire.Death, self._on_death)
        parts.transport.subscribe(wire.Cleared, self._on_cleared)

    def check(
        self, call: calls.Call, body: bodies.Body
    ) -> outcomes.Refuse | None:
        """Returns why this VM must not run a request now, if so."""
        suspect = self._suspect_of(call, body)
        if suspect is None or not self._remembered(suspect):
            return None
        if len(suspect.deaths) >= _MOST_DEATHS:
            return outcomes.refuse(outcomes.QUARANTINED)
        return self._check_trial(suspect)

    def begin(
        self, call: calls.Call, body: bodies.Body
    ) -> Run | outcomes.Refuse:
        """Returns the run of a call, right before it is dispatched."""
        refusal = self.check(call, body)
        if refusal is not None:
            return refusal
        run = Run(call, body, self._parts.clock.now_s())
        suspect = self._suspect_of(call, body)
        if suspect is not None:
            suspect.trial = run
            suspect.trial_over.clear()
        return run

    def end(self, run: Run) -> None:
        """Notes that a run is over, whatever became of it."""
        suspect = self._suspect_of(run.call, run.body)
        if suspect is not None and suspect.trial is run:
            suspect.trial = None
            suspect.trial_over.set()

    async def wait(self, call: calls.Call, body: bodies.Body) -> None:
        """Waits a while for the end of a trial of the same content here."""
        suspect = self._suspect_of(call, body)
        if suspect is None or suspect.trial is None:
            return
        left_s = call.deadline_s - self._parts.clock.now_s()
        try:
            async with asyncio.timeout(min(left_s, _PATIENCE_S)):
                await suspect.trial_over.wait()
        except TimeoutError:
            # It is refused then, and told when to come back.
            return

    def note_crash(self, run: Run) -> None:
        """Notes that this VM's backend server died under a run."""
        fingerprint = fingerprints.of_content(run.call, run.body)
        known = self._suspects.get(fingerprint)
        if known is not None and run.began_s <= known.own_s:
            # Another copy was in flight when the backend server died, and
            # one death counts once.
            return
        message = wire.Death(fingerprint, next(self._sequence))
        own = self._parts.directory.own.name
        self._on_death(own, message)
        suspect = self._suspects[fingerprint]
        suspect.own_s = self._parts.clock.now_s()
        self._spread(message)
        _log.warning(
            "backend_server_died",
            request_id=run.call.request_id,
            client_account=run.call.client_account,
            route=run.call.route,
            deaths=len(suspect.deaths),
        )

    def note_answer(self, run: Run) -> None:
        """Notes that a backend server lived through a run."""
        if self._suspect_of(run.call, run.body) is None:
            return
        message = wire.Cleared(fingerprints.of_content(run.call, run.body))
        self._on_cleared("", message)
        self._spread(message)

    def _check_trial(self, suspect: _Suspect) -> outcomes.Refuse | None:
        own = self._parts.directory.own.name
        tried_by = self._tried_by(suspect)
        refusal = outcomes.refuse(outcomes.SUSPECT)
        if tried_by != own:
            return dataclasses.replace(refusal, tried_by=tried_by)
        if suspect.trial is not None:
            return refusal
        return None

    def _tried_by(self, suspect: _Suspect) -> str:
        """Returns the daemon that tries a suspect.

        All daemons that know the same members and deaths find the same one,
        without asking one another.
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

    def _remembered(self, suspect: _Suspect) -> bool:
        return self._parts.clock.now_s() - suspect.last_s < _REMEMBERED_S

    def _suspect_of(
        self, call: calls.Call, body: bodies.Body
    ) -> _Suspect | None:
        # Without suspects, calls pay for no digest.
        if not self._suspects:
            return None
        return self._suspects.get(fingerprints.of_content(call, body))

    def _spread(self, message: wire.Death | wire.Cleared) -> None:
        own = self._parts.directory.own
        for record in self._parts.directory.all():
            if record.service != own.service or record.name == own.name:
                continue
            try:
                self._parts.transport.send(record.name, message)
            except errors.PeerUnreachableError as error:
                _log.warning("death_not_told", error=str(error))

    def _on_death(self, peer: str, message: wire.Death) -> None:
        suspect = self._suspects.get(message.fingerprint)
        if suspect is None or not self._remembered(suspect):
            suspect = _Suspect(message.fingerprint)
        suspect.deaths.add((peer, message.sequence))
        suspect.last_s = self._parts.clock.now_s()
        self._suspects[message.fingerprint] = suspect
        self._suspects.move_to_end(message.fingerprint)
        if len(self._suspects) > _MOST_SUSPECTS:
            self._suspects.popitem(last=False)

    def _on_cleared(self, peer: str, message: wire.Cleared) -> None:
        suspect = self._suspects.pop(message.fingerprint, None)
        if suspect is not None:
            suspect.trial_over.set()


def create_quarantine(parts: Parts) -> Quarantine:
    """Returns a quarantine without suspects."""
    return Quarantine(parts)
