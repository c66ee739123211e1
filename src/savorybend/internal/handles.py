"""Handles, which authorize a backend server to make child calls of a request.

A backend server gets a handle instead of the caller's key. A handle is valid
only while its request is in flight on this VM, so a backend server can't act
for a client account outside a live request.
"""

import secrets

from savorybend.internal import calls
from savorybend.internal import requestids
from savorybend.internal import sentinels

NO_HANDLE = sentinels.create("NO_HANDLE", "no request in flight has it")

_HANDLE_BYTES = 16


class LiveRequest:
    """A request in progress at this VM's backend server.

    Attributes:
        handle: Token that the backend server sends with its child calls.
        effects: Whether it started a non-idempotent call, directly or through
            its child calls.
        child_failed: Whether a child call failed.
        threshold: The highest admission threshold of its child calls.
    """

    __slots__ = (
        "_call",
        "_children",
        "_children_s",
        "_pending_children",
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
        self._pending_children = 0
        self._pending_since_s = 0.0
        self.handle = handle
        self._retries_left = call.retries
        self.effects = False
        self.child_failed = False
        self.threshold = calls.NO_THRESHOLD

    @property
    def call(self) -> calls.Call:
        """The call that the backend server is processing."""
        return self._call

    @property
    def children(self) -> int:
        """Number of child calls that it has made."""
        return self._children

    @property
    def retries_spent(self) -> int:
        """Retries that its child calls used or may still use."""
        return self._call.retries - self._retries_left

    def lend_retries(self) -> int:
        """Returns the number of retries that the next child call may use.

        It is half of the remaining retries, rounded up, so that concurrent
        child calls share them. `return_retries` adds those back that a child
        call didn't use.
        """
        lent = (self._retries_left + 1) // 2
        self._retries_left -= lent
        return lent

    def return_retries(self, lent: int, spent: int) -> None:
        """Adds back the retries that a child call was lent but didn't use."""
        self._retries_left += max(0, lent - spent)

    @property
    def children_s(self) -> float:
        """Seconds during which it waited for at least one child call."""
        return self._children_s

    def child_started(self, now_s: float) -> None:
        """Records the start of a child call.

        Args:
            now_s: The time on this VM's clock, in seconds.
        """
        if not self._pending_children:
            self._pending_since_s = now_s
        self._pending_children += 1

    def child_ended(self, now_s: float) -> None:
        """Records the end of a child call; see `child_started`."""
        self._pending_children -= 1
        if not self._pending_children:
            self._children_s += now_s - self._pending_since_s

    def next_child_id(self) -> str:
        """Returns the ID of its next child call."""
        self._children += 1
        return requestids.child(self._call.request_id, self._children)


class Handles:
    """The requests in flight on this VM by their handles."""

    def __init__(self):
        self._live_requests: dict[str, LiveRequest] = {}

    def grant(self, call: calls.Call) -> LiveRequest:
        """Returns a live request with a new handle."""
        live_request = LiveRequest(secrets.token_hex(_HANDLE_BYTES), call)
        self._live_requests[live_request.handle] = live_request
        return live_request

    def find(self, handle: str) -> LiveRequest | sentinels.Absence:
        """Returns the live request of a handle, or `NO_HANDLE`."""
        return self._live_requests.get(handle, NO_HANDLE)

    def withdraw(self, live_request: LiveRequest) -> None:
        """Revokes the handle of a request that has ended."""
        self._live_requests.pop(live_request.handle, None)


def create_handles() -> Handles:
    """Returns an empty table of handles."""
    return Handles()
