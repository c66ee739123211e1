"""The statement with which this daemon describes itself to its peers."""

import collections.abc
import time

import msgspec

from savorybend.relay import admission
from savorybend.relay import backend
from savorybend.relay import callqueue
from savorybend.relay import catalog
from savorybend.relay import directory
from savorybend.relay import frames
from savorybend.relay import outcomes
from savorybend.relay import settings

_NANOSECONDS_PER_MS = 1_000_000


class OwnStatement:
    """Builds this daemon's statement, anew after each change."""

    def __init__(
        self,
        loaded_settings: settings.Settings,
        server: backend.BackendServer,
        active_catalog: catalog.Catalog,
        call_queue: callqueue.CallQueue,
        callees: admission.Callees,
    ):
        self._settings = loaded_settings
        self._server = server
        self._catalog = active_catalog
        self._call_queue = call_queue
        self._callees = callees
        self._boot = time.time_ns() // _NANOSECONDS_PER_MS
        self._serial = 0
        self._draining = False
        self._feed: collections.abc.Callable[[], frames.Feed] | None = None
        self._terms: collections.abc.Callable[[], outcomes.Terms | None]
        self._terms = _no_terms
        self._statement = self._build()

    @property
    def statement(self) -> frames.Statement:
        """The newest statement."""
        return self._statement

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 if there is none."""
        return self._catalog.version

    @property
    def feed(self) -> frames.Feed | None:
        """This daemon's copy of the records."""
        return self._feed() if self._feed else None

    @property
    def load(self) -> outcomes.Load:
        """Load of the backend server and of the services that it calls."""
        load = self._call_queue.load
        shares = self._callees.shares
        terms = self._terms()
        if not shares and terms is None:
            return load
        return msgspec.structs.replace(load, shares=shares, terms=terms)

    def set_feed(self, feed: collections.abc.Callable[[], frames.Feed]) -> None:
        """Sets the function that returns `feed`."""
        self._feed = feed

    def set_terms(
        self, terms: collections.abc.Callable[[], outcomes.Terms | None]
    ) -> None:
        """Sets the function that returns what the backend server has said."""
        self._terms = terms

    def change(self) -> None:
        """Rebuilds the statement after a change, with the next serial."""
        self._serial += 1
        self._statement = self._build()

    def leave(self) -> None:
        """Reports a ready backend server as draining from now on."""
        self._draining = True
        self.change()

    def note_earlier_boot(self, boot: int) -> None:
        """Ensures that this start has a higher boot number than an earlier one.

        Boot numbers come from the wall clock, which may have been set back.

        Args:
            boot: Boot number of the earlier start.
        """
        if boot >= self._boot:
            self._boot = boot + 1
            self.change()

    def _build(self) -> frames.Statement:
        current = self._server.current
        state = self._server.state
        if self._draining and state == directory.READY:
            state = directory.DRAINING
        return frames.Statement(
            daemon=self._settings.name,
            host=self._settings.host,
            port=self._settings.peer_port,
            data_centre=self._settings.data_centre,
            service=current.service if current else self._settings.service,
            boot=self._boot,
            serial=self._serial,
            state=state,
            instance=current.instance if current else "",
            slots=current.slots if current else 0,
            born_ms=current.born_ms if current else 0,
            departed=self._server.departed,
        )


def _no_terms() -> None:
    """Stands for a backend server that has said nothing."""


def create_own_statement(
    loaded_settings: settings.Settings,
    server: backend.BackendServer,
    active_catalog: catalog.Catalog,
    call_queue: callqueue.CallQueue,
    callees: admission.Callees,
) -> OwnStatement:
    """Returns a holder with the first statement of this start."""
    return OwnStatement(
        loaded_settings, server, active_catalog, call_queue, callees
    )
