"""Fetches the configuration from daemons that have a newer version."""

import collections.abc

import structlog

from savorybend.internal import packing
from savorybend.internal import timers
from savorybend.relay import catalog
from savorybend.relay import frames

# Time to the next request if the last one wasn't answered.
_RETRY_S = 0.2
# A daemon in another data centre is asked only if none nearby could be within
# this time, since traffic between data centres is charged for.
_REMOTE_DELAY_S = 0.4
# Largest document, as the platform limits its objects.
_MAX_DOCUMENT_BYTES = 1 << 20

_log = structlog.get_logger()


class ConfigurationFetch:
    """Decides when to fetch a configuration, and packs and unpacks it."""

    def __init__(self, clock: timers.Clock):
        self._clock = clock
        self._requested_s = -_RETRY_S
        self._newer_version = 0
        self._newer_since_s = 0.0
        self._packed_version = 0
        self._packed = b""

    def is_due(self, version: int, own_version: int, remote: bool) -> bool:
        """Returns whether to request the configuration from a daemon now.

        Args:
            version: The daemon's version.
            own_version: Version of the configuration in force; 0 for none.
            remote: Whether the daemon is in another data centre.
        """
        if version <= own_version:
            return False
        now_s = self._clock.now_s()
        if self._newer_version <= own_version:
            self._newer_since_s = now_s
        self._newer_version = max(version, self._newer_version)
        waited_s = now_s - self._newer_since_s
        if remote and own_version and waited_s < _REMOTE_DELAY_S:
            return False
        if now_s - self._requested_s < _RETRY_S:
            return False
        self._requested_s = now_s
        return True

    def answer(
        self,
        request: frames.FetchConfiguration,
        source: catalog.Catalog,
        reply: collections.abc.Callable[[frames.Message], None],
    ) -> None:
        """Sends the configuration in force, if there is one."""
        current = source.current
        if not current:
            return
        if not request.packed:
            reply(
                frames.ConfigurationDocument(current.version, current.document)
            )
            return
        if self._packed_version != current.version:
            self._packed = packing.pack(current.document)
            self._packed_version = current.version
        reply(frames.ConfigurationDocument(current.version, self._packed, True))

    def receive(
        self,
        message: frames.ConfigurationDocument,
        target: catalog.Catalog,
        daemon: str,
    ) -> None:
        """Offers a received configuration to the catalog."""
        document: bytes | None = message.document
        if message.packed:
            document = packing.unpack(message.document, _MAX_DOCUMENT_BYTES)
        if document is None:
            _log.warning("configuration_garbled", peer=daemon)
            return
        target.offer(document, daemon)


def create_configuration_fetch(clock: timers.Clock) -> ConfigurationFetch:
    """Returns a fetch that has made no request yet."""
    return ConfigurationFetch(clock)
