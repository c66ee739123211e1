"""Distributes the configuration between daemons."""

import hashlib
import typing

from savorybend.internal import configstore
from savorybend.internal import errors
from savorybend.internal import logs
from savorybend.internal import membership
from savorybend.internal import packing
from savorybend.internal import snapshot
from savorybend.internal import timers
from savorybend.internal.wire import configuration as wire
from savorybend.internal.wire import membership as membership_wire

# Far below the message size limit, so that calls sharing the connection are
# not delayed by a part.
PART_BYTES = 65_536
# The platform's limit on the size of an object, hence of a document.
_MAX_DOCUMENT_BYTES = 1_048_576
_PART_TIMEOUT_S = 0.4

_log = logs.get()


class _Fetch:
    """A configuration being fetched in parts from peers that hold it."""

    def __init__(self, version: int, peer: str):
        self.version = version
        self.holders = [peer]
        self.data = bytearray()
        self.timer: timers.Subscription | None = None


class Distributor:
    """Serves the configuration in force to peers and fetches newer ones."""

    def __init__(
        self,
        store: configstore.Store,
        transport: membership.Transport,
        service: timers.TimerService,
    ):
        self._store = store
        self._transport = transport
        self._timers = service
        self._fetch: _Fetch | None = None
        self._refused = 0
        self._packed = b""
        store.subscribe(self._on_taken)
        transport.subscribe(wire.PartRequest, self._on_request)
        transport.subscribe(wire.Part, self._on_part)

    def standing(self) -> membership_wire.ConfigurationStatus:
        """Returns the version and age of this daemon's configuration."""
        return membership_wire.ConfigurationStatus(
            self._store.version, self._store.age_s
        )

    def on_standing(
        self, peer: str, standing: membership_wire.ConfigurationStatus
    ) -> None:
        """Fetches the configuration of a peer if its version is higher."""
        if standing.version <= max(self._store.version, self._refused):
            return
        fetch = self._fetch
        if fetch is not None and fetch.version >= standing.version:
            if fetch.version == standing.version:
                fetch.holders.append(peer)
            return
        self._end_fetch()
        self._fetch = _Fetch(standing.version, peer)
        self._ask(self._fetch)

    def on_fresh_standing(
        self, standing: membership_wire.ConfigurationStatus, asked_s: float
    ) -> None:
        """Updates the age of the configuration from a peer's reply.

        Args:
            standing: The peer's configuration at some time after `asked_s`.
            asked_s: When the request was sent, in seconds on this daemon's
                clock.
        """
        if standing.version == self._store.version and standing.age_s >= 0:
            self._store.confirm(asked_s - standing.age_s)

    def _on_taken(self, taken: snapshot.Snapshot) -> None:
        self._packed = packing.pack(taken.text)
        if self._fetch is not None and self._fetch.version <= taken.version:
            self._end_fetch()

    def _on_request(self, peer: str, message: wire.PartRequest) -> None:
        held = self._store.in_force
        if not held or held.version != message.version or message.offset < 0:
            return
        data = self._packed[message.offset : message.offset + PART_BYTES]
        part = wire.Part(
            held.version,
            message.offset,
            len(self._packed),
            held.digest,
            data,
        )
        self._try_send(peer, part)

    def _on_part(self, peer: str, message: wire.Part) -> None:
        fetch = self._fetch
        if fetch is None or message.version != fetch.version:
            return
        if message.offset != len(fetch.data) or peer not in fetch.holders:
            return
        fetch.data += message.data
        if len(fetch.data) >= message.size or not message.data:
            self._finish(fetch, message.digest)
        else:
            self._ask(fetch)

    def _finish(self, fetch: _Fetch, digest: str) -> None:
        text = packing.unpack(bytes(fetch.data), _MAX_DOCUMENT_BYTES)
        if text is None or hashlib.sha256(text).hexdigest() != digest:
            _log.warning("configuration_garbled", peer=fetch.holders[0])
            self._try_next(fetch)
            return
        self._end_fetch()
        if not self._store.offer(fetch.version, text):
            # The document is invalid, so other holders' copies are too.
            self._refused = max(self._refused, fetch.version)

    def _ask(self, fetch: _Fetch) -> None:
        if fetch.timer is not None:
            fetch.timer.cancel()
        fetch.timer = self._timers.after(
            _PART_TIMEOUT_S, lambda: self._on_silence(fetch)
        )
        request = wire.PartRequest(fetch.version, len(fetch.data))
        self._try_send(fetch.holders[0], request)

    def _on_silence(self, fetch: _Fetch) -> None:
        if self._fetch is fetch:
            self._try_next(fetch)

    def _try_next(self, fetch: _Fetch) -> None:
        fetch.holders.pop(0)
        # Two daemons may compress the document differently, so parts from
        # different holders can't be combined.
        fetch.data.clear()
        if fetch.holders:
            self._ask(fetch)
        else:
            self._end_fetch()

    def _end_fetch(self) -> None:
        if self._fetch is not None and self._fetch.timer is not None:
            self._fetch.timer.cancel()
        self._fetch = None

    def _try_send(self, peer: str, message: typing.Any) -> None:
        try:
            self._transport.send(peer, message)
        except errors.PeerUnreachableError:
            # The part timeout moves on to another holder.
            return


def create_distributor(
    store: configstore.Store,
    transport: membership.Transport,
    service: timers.TimerService,
) -> Distributor:
    """Returns a distributor of the configuration in `store`."""
    return Distributor(store, transport, service)
