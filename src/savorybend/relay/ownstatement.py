"""What this daemon says of itself to others."""

import time

import msgspec

from savorybend.relay import backend
from savorybend.relay import catalog
from savorybend.relay import directory
from savorybend.relay import frames
from savorybend.relay import gate
from savorybend.relay import outcomes
from savorybend.relay import pressure
from savorybend.relay import settings

_NANOSECONDS_PER_MS = 1_000_000


class OwnStatement:
    """This daemon's statement, rebuilt when something in it changes."""

    def __init__(
        self,
        found: settings.Settings,
        server: backend.BackendServer,
        known: catalog.Catalog,
        own_gate: gate.Gate,
        callees: pressure.Callees,
    ):
        self._settings = found
        self._server = server
        self._catalog = known
        self._gate = own_gate
        self._callees = callees
        self._boot = time.time_ns() // _NANOSECONDS_PER_MS
        self._serial = 0
        self._leaving = False
        self._statement = self._build()

    @property
    def statement(self) -> frames.Statement:
        """The newest statement."""
        return self._statement

    @property
    def version(self) -> int:
        """The configuration's version; 0 for none."""
        return self._catalog.version

    @property
    def load(self) -> outcomes.Load:
        """How busy the backend server is, and those that it calls."""
        load = self._gate.load
        shares = self._callees.shares
        if not shares:
            return load
        return msgspec.structs.replace(load, shares=shares)

    def change(self) -> None:
        """Takes the backend server's new state."""
        self._serial += 1
        self._statement = self._build()

    def leave(self) -> None:
        """Says from now on that no calls are taken."""
        self._leaving = True
        self.change()

    def note_earlier_boot(self, boot: int) -> None:
        """Makes this start the newer one, whatever the time of day says."""
        if boot >= self._boot:
            self._boot = boot + 1
            self.change()

    def _build(self) -> frames.Statement:
        current = self._server.current
        state = self._server.state
        if self._leaving and state == directory.READY:
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
        )


def create_own_statement(
    found: settings.Settings,
    server: backend.BackendServer,
    known: catalog.Catalog,
    own_gate: gate.Gate,
    callees: pressure.Callees,
) -> OwnStatement:
    """Returns the first statement of a start."""
    return OwnStatement(found, server, known, own_gate, callees)
