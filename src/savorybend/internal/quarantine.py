"""Keeps a request that crashes backend servers away from the next ones.

When a backend server dies, every request in flight there is a suspect. One
that is answered later, anywhere, is cleared; one that is in flight at a
second death is quarantined at all daemons of the service.
"""

import collections
import itertools
import secrets
import typing

from savorybend.internal import bodies
from savorybend.internal import calls
from savorybend.internal import errors
from savorybend.internal import fingerprints
from savorybend.internal import logs
from savorybend.internal import members
from savorybend.internal import peers
from savorybend.internal import timers
from savorybend.internal.wire import requests as wire

_MOST_DEATHS = 2
# A mended service gets another chance then, at the cost of two more deaths.
_REMEMBERED_S = 3600.0
_MOST_SUSPECTS = 10_000

_log = logs.get()


class _Suspect:
    """Content of requests that backend servers died under."""

    __slots__ = ("deaths", "last_s")

    def __init__(self):
        self.deaths: set[tuple[str, int]] = set()
        self.last_s = 0.0


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

    def blocks(self, call: calls.Call, body: bodies.Body) -> bool:
        """Returns whether a request is quarantined."""
        suspect = self._find(call, body)
        if suspect is None or len(suspect.deaths) < _MOST_DEATHS:
            return False
        return self._parts.clock.now_s() - suspect.last_s < _REMEMBERED_S

    def note_death(self, call: calls.Call, body: bodies.Body) -> None:
        """Notes that this VM's backend server died under a request."""
        fingerprint = fingerprints.of_content(call, body)
        message = wire.Death(fingerprint, next(self._sequence))
        own = self._parts.directory.own.name
        self._on_death(own, message)
        self._spread(message)
        _log.warning(
            "backend_server_died",
            request_id=call.request_id,
            client_account=call.client_account,
            route=call.route,
            deaths=len(self._suspects[fingerprint].deaths),
        )

    def note_answer(self, call: calls.Call, body: bodies.Body) -> None:
        """Notes that a backend server lived through a request."""
        if self._find(call, body) is None:
            return
        message = wire.Cleared(fingerprints.of_content(call, body))
        self._on_cleared("", message)
        self._spread(message)

    def _find(self, call: calls.Call, body: bodies.Body) -> _Suspect | None:
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
        now_s = self._parts.clock.now_s()
        suspect = self._suspects.get(message.fingerprint)
        if suspect is None or now_s - suspect.last_s >= _REMEMBERED_S:
            suspect = _Suspect()
        suspect.deaths.add((peer, message.sequence))
        suspect.last_s = now_s
        self._suspects[message.fingerprint] = suspect
        self._suspects.move_to_end(message.fingerprint)
        if len(self._suspects) > _MOST_SUSPECTS:
            self._suspects.popitem(last=False)

    def _on_cleared(self, peer: str, message: wire.Cleared) -> None:
        self._suspects.pop(message.fingerprint, None)


def create_quarantine(parts: Parts) -> Quarantine:
    """Returns a quarantine without suspects."""
    return Quarantine(parts)
