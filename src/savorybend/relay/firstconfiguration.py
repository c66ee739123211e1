"""Holds the store's configuration back while a daemon starts.

The store may have come back from a copy whose configuration is older than the
one that the other daemons have.
"""

import collections.abc
import typing

import structlog

from savorybend.internal import timers
from savorybend.relay import catalog
from savorybend.relay import inquiry

# An older configuration serves callers better than none.
_MAX_HOLD_S = 1.0

_log = structlog.get_logger()


class Parts(typing.NamedTuple):
    """Dependencies of `FirstConfiguration`.

    Attributes:
        catalog: The configuration in force.
        inquiry: What the other daemons have said since this one's start.
        timers: Timers.
        announce: Tells the connected daemons of a newer version; they fetch it
            as soon as they hear of it.
    """

    catalog: catalog.Catalog
    inquiry: inquiry.Inquiry
    timers: timers.TimerService
    announce: collections.abc.Callable[[], None]


class FirstConfiguration:
    """Passes the store's configurations on once none of the others is newer."""

    def __init__(self, parts: Parts):
        self._parts = parts
        self._held: list[bytes] = []
        self._released = False
        parts.inquiry.subscribe(self._release_if_newest)
        parts.catalog.subscribe(self._release_if_newest)

    def offer(self, document: bytes) -> None:
        """Puts a stored configuration in force, at a start not before asking.

        Args:
            document: The encoded configuration, as the platform stores it.
        """
        if not self._held and not self._released:
            self._parts.timers.after(_MAX_HOLD_S, self._stop_waiting)
        self._held.append(document)
        self._release_if_newest()

    def _release_if_newest(self) -> None:
        if self._held and (self._released or self._is_newest()):
            self._release()

    def _is_newest(self) -> bool:
        """Returns whether no other daemon has a newer one than this daemon."""
        asked = self._parts.inquiry
        if asked.none_known:
            return True
        version = self._parts.catalog.version
        return asked.complete and version >= asked.newest_version

    def _stop_waiting(self) -> None:
        if self._released:
            return
        _log.warning(
            "configuration_not_compared",
            newest_version=self._parts.inquiry.newest_version,
            remedy="daemons that have a newer one don't answer; it comes into "
            "force as soon as one of them does",
        )
        self._release()

    def _release(self) -> None:
        self._released = True
        held, self._held = self._held, []
        before = self._parts.catalog.version
        for document in held:
            self._parts.catalog.offer(document, "store")
        if self._parts.catalog.version != before:
            self._parts.announce()


def create_first_configuration(parts: Parts) -> FirstConfiguration:
    """Returns one that holds configurations until the others were asked."""
    return FirstConfiguration(parts)
