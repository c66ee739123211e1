"""Handles: what a backend server holds of a request instead of its key.

A handle is good only while its request is in flight on this VM, so a backend
server can't act for a client account outside a live request.
"""

import secrets

from savorybend.internal import calls
from savorybend.internal import requestids
from savorybend.internal import sentinels

NO_HANDLE = sentinels.create("NO_HANDLE", "no request in flight has it")

_HANDLE_BYTES = 16


class LiveRequest:
    """A request that this VM's backend server is working on.

    Attributes:
        handle: What the backend server shows to make child calls.
        effects: Whether a call that must not run twice was started behind it.
        child_failed: Whether a child call failed.
        threshold: The highest admission threshold behind it.
    """

    __slots__ = (
        "_call",
        "_children",
        "_children_s",
        "_pending",
        "_pending_since_s",
        "_retries_left",
        "effects",
        "child_failed",
        "handle",
        "threshold",
    )

    def __init__(self, handle: str, call: calls.Call):
        self._call = call
        self._children = 0
        self._children_s = 0.0
        self._pending = 0
        self._pending_since_s = 0.0
        self.handle = handle
        self._retries_left = call.retries
        self.effects = False
        self.child_failed = False
        self.threshold = calls.NO_THRESHOLD

    @property
    def call(self) -> calls.Call:
        """The call that the backend server was given."""
        return self._call

    @property
    def children(self) -> int:
        """How many child calls it has made."""
        return self._children

    @property
    def retries_spent(self) -> int:
        """Retries that its children used, or still hold."""
        return self._call.retries - self._retries_left

    def lend_retries(self) -> int:
        """Returns how many retries the next child call may use.

        Half of what is left, so that children which run at the same time
        share it; what a child doesn't use comes back.
        """
        lent = (self._retries_left + 1) // 2
        self._retries_left -= lent
        return lent

    def return_retries(self, lent: int, spent: int) -> None:
        """Takes back what a child was lent and didn't use."""
        self._retries_left += max(0, lent - spent)

    @property
    def children_s(self) -> float:
        """Seconds in which it waited for at least one child call."""
        return self._children_s

    def child_started(self, now_s: float) -> None:
        """Notes that it waits for a child call."""
        if not self._pending:
            self._pending_since_s = now_s
        self._pending += 1

    def child_ended(self, now_s: float) -> None:
        """Notes that a child call is over."""
        self._pending -= 1
        if not self._pending:
            self._children_s += now_s - self._pending_since_s

    def next_child_id(self) -> str:
        """Returns the ID of its next child call."""
        self._children += 1
        return requestids.child(self._call.request_id, self._children)


class Handles:
    """The handles of the requests in flight on this VM."""

    def __init__(self):
        self._live: dict[str, LiveRequest] = {}

    def grant(self, call: calls.Call) -> LiveRequest:
        """Returns a live request with a new handle."""
        live = LiveRequest(secrets.token_hex(_HANDLE_BYTES), call)
        self._live[live.handle] = live
        return live

    def find(self, handle: str) -> LiveRequest | sentinels.Absence:
        """Returns the live request that has a handle, or `NO_HANDLE`."""
        return self._live.get(handle, NO_HANDLE)

    def withdraw(self, live: LiveRequest) -> None:
        """Ends a handle, since its request is over."""
        self._live.pop(live.handle, None)


def create_handles() -> Handles:
    """Returns an empty table of handles."""
    return Handles()
