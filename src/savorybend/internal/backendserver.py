"""State of the backend server on this VM, from its announcements."""

import collections.abc
import typing

from savorybend.internal import charts
from savorybend.internal import concurrency
from savorybend.internal import logs

_log = logs.get()


class Announcement(typing.TypedDict):
    """A backend server's registration.

    Attributes:
        address: Where it accepts calls, as `IP:PORT`.
        slots: Calls that it can process concurrently.
    """

    address: str
    slots: int


class LoadReport(typing.TypedDict):
    """A backend server's report of its load; it may be stale or wrong.

    Attributes:
        in_use: Slots in use.
    """

    in_use: int


class BackendServer:
    """Tracks the backend server's state; see charts/backend.json."""

    # Set by the state machine.
    state: str

    def __init__(self, gate: concurrency.Gate):
        self._gate = gate
        self._address = ""
        self._listeners: list[collections.abc.Callable[[str], None]] = []
        charts.create_machine("backend", self, after_change="log_state")

    @property
    def address(self) -> str:
        """Where it accepts calls, as `IP:PORT`; empty until announced."""
        return self._address

    @property
    def ready(self) -> bool:
        """Whether it accepts new calls."""
        return self.state == "ready"

    def subscribe(
        self, listener: collections.abc.Callable[[str], None]
    ) -> None:
        """Calls `listener` with the new state after each change."""
        self._listeners.append(listener)

    def take_announcement(self, announcement: Announcement) -> None:
        """Handles an announcement: updates address, slots and state."""
        self._address = announcement["address"]
        self._gate.set_slots(announcement["slots"])
        if not self.ready:
            self.trigger("announce")

    def take_report(self, report: LoadReport) -> None:
        """Passes a load report to the gate as a hint."""
        self._gate.note_load_report(report["in_use"])

    def log_state(self) -> None:
        """Logs the new state and notifies the listeners."""
        _log.info("backend_server", state=self.state, address=self._address)
        for listener in self._listeners:
            listener(self.state)


def create_backend_server(gate: concurrency.Gate) -> BackendServer:
    """Returns a backend server that hasn't announced itself yet."""
    return BackendServer(gate)
