"""The configuration in force at this daemon; its version never decreases."""

import collections.abc

import structlog

from savorybend.internal import errors
from savorybend.internal import sentinels
from savorybend.relay import calls

NO_CONFIGURATION = sentinels.create(
    "NO_CONFIGURATION", "this daemon has not received a configuration yet"
)

_log = structlog.get_logger()

Decode = collections.abc.Callable[[bytes], calls.Configuration]


class Catalog:
    """Holds the newest configuration received."""

    def __init__(self, decode: Decode):
        self._decode = decode
        self._current: calls.Configuration | sentinels.Absence = (
            NO_CONFIGURATION
        )
        self._listeners: list[collections.abc.Callable[[], None]] = []

    @property
    def current(self) -> calls.Configuration | sentinels.Absence:
        """The configuration in force, or `NO_CONFIGURATION`."""
        return self._current

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 if there is none."""
        return self._current.version if self._current else 0

    @property
    def limits(self) -> calls.CallerLimits:
        """Limits on callers' requests; defaults without a configuration."""
        return self._current.limits if self._current else calls.CallerLimits()

    def subscribe(self, listener: collections.abc.Callable[[], None]) -> None:
        """Calls `listener` after each change of the configuration."""
        self._listeners.append(listener)

    def offer(self, document: bytes, source: str) -> None:
        """Puts a configuration in force if it is newer than the current one.

        An invalid document is logged and ignored.

        Args:
            document: The encoded configuration, as the platform stores it.
            source: Where it came from, for the log.
        """
        try:
            configuration = self._decode(document)
        except errors.InvalidConfigurationError as error:
            _log.error("configuration_invalid", error=str(error), source=source)
            return
        if configuration.version <= self.version:
            return
        _log.info(
            "configuration_in_force",
            version=configuration.version,
            before=self.version,
            source=source,
        )
        self._current = configuration
        for listener in self._listeners:
            listener()


class LiveLimits:
    """The caller limits in force, read from the catalog on each access."""

    def __init__(self, catalog: Catalog):
        self._catalog = catalog

    @property
    def header_bytes(self) -> int:
        """Largest request head, in bytes."""
        return self._catalog.limits.header_bytes

    @property
    def body_bytes(self) -> int:
        """Largest request body, in bytes."""
        return self._catalog.limits.body_bytes

    @property
    def header_timeout_s(self) -> float:
        """Timeout for receiving a request head, in seconds."""
        return self._catalog.limits.header_timeout_s

    @property
    def idle_timeout_s(self) -> float:
        """How long a connection may be idle, in seconds."""
        return self._catalog.limits.idle_timeout_s


def create_catalog(decode: Decode) -> Catalog:
    """Returns a catalog without a configuration.

    Args:
        decode: Decodes a document; raises `errors.InvalidConfigurationError`
            if it is invalid.
    """
    return Catalog(decode)
