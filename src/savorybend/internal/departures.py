"""Departure messages: unused request IDs of daemons that shut down gracefully.

A daemon that shuts down gracefully closes its guard, and then tells its peers
which of its IDs were never started. This proves that they didn't run, since no
other daemon may start them.
"""

import collections
import typing

from savorybend.internal import errors
from savorybend.internal import issuing
from savorybend.internal import logs
from savorybend.internal import members
from savorybend.internal import peers
from savorybend.internal import requestids
from savorybend.internal.wire import requests as wire

# How many departures are kept. A fleet of 1,000 replaces 73 daemons a day.
_MAX_DEPARTURES = 100
# Only this many of the newest unused IDs are sent, since callers take IDs
# shortly before they use them.
_MAX_IDS = 2000

_log = logs.get()

_Key = tuple[str, int]


class Parts(typing.NamedTuple):
    """Dependencies of departures."""

    transport: peers.Transport
    directory: members.Directory
    issuer: issuing.Issuer


class Departures:
    """Stores the departures of peers and sends this daemon's own."""

    def __init__(self, parts: Parts):
        self._parts = parts
        self._kept: collections.OrderedDict[_Key, wire.Departure] = (
            collections.OrderedDict()
        )
        parts.transport.subscribe(wire.Departure, self._on_departure)

    def send(self) -> None:
        """Sends this daemon's departure to all peers.

        The guard must be closed before, or an ID reported as unused could
        still be started.
        """
        own = self._parts.directory.own
        unused = self._parts.issuer.unused(_MAX_IDS)
        message = wire.Departure(own.incarnation, unused)
        for record in self._parts.directory.all():
            if record.name == own.name:
                continue
            try:
                self._parts.transport.send(record.name, message)
            except errors.PeerUnreachableError as error:
                _log.warning("departure_not_sent", error=str(error))

    def proves_unused(
        self, request_id: requestids.RequestId, client_account: str
    ) -> bool:
        """Returns whether a departure proves that an account's ID never ran."""
        departure = self._kept.get((request_id.issuer, request_id.incarnation))
        if departure is None:
            return False
        return any(
            unused.client_account == client_account
            and request_id.sequence in unused.sequences
            for unused in departure.unused
        )

    def _on_departure(self, peer: str, message: wire.Departure) -> None:
        key = (peer, message.incarnation)
        self._kept[key] = message
        self._kept.move_to_end(key)
        if len(self._kept) > _MAX_DEPARTURES:
            self._kept.popitem(last=False)


def create_departures(parts: Parts) -> Departures:
    """Returns the departures of a daemon, with none received yet."""
    return Departures(parts)
