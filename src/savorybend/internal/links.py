"""Reliable, ordered message delivery between two daemons.

Messages carry sequence numbers and are kept until the peer acknowledges them.
A link outlives its connections: messages lost on a silent connection are
resent over the next one, and duplicates and gaps are detected by their numbers.
So a call is started once, and an answer resumes at the byte it had reached.
"""

import collections
import dataclasses

from savorybend.internal import linkmonitor
from savorybend.internal.wire import calls
from savorybend.internal.wire import codec
from savorybend.internal.wire import links as wire

# Most receipts are piggybacked on messages in the other direction. A separate
# one is sent only if there was no such message for this long.
RECEIPT_AFTER_S = 0.1
# New calls are refused beyond this, so that a peer that doesn't read can't
# exhaust the memory. Answers may exceed it: windows and slots bound them.
MAX_UNACKNOWLEDGED_BYTES = 4 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class InOrder:
    """The message has the expected number and is to be handled."""


@dataclasses.dataclass(frozen=True, slots=True)
class Duplicate:
    """The message was already handled."""


@dataclasses.dataclass(frozen=True, slots=True)
class OutOfOrder:
    """Messages with lower numbers are missing."""


Arrival = InOrder | Duplicate | OutOfOrder

_NEXT = InOrder()
_REPEATED = Duplicate()
_EARLY = OutOfOrder()


class Link:
    """State of the message exchange between two incarnations of daemons.

    Its counters live as long as both processes, even while one considers the
    other dead, so that a peer that was only paused resumes where it stopped.
    """

    __slots__ = ("_key", "_last", "_kept", "_kept_bytes", "_received")
    __slots__ += ("_resend_asked", "_told", "watch")

    def __init__(self, key: str):
        self._key = key
        self._last = 0
        self._kept: collections.deque[bytes] = collections.deque()
        self._kept_bytes = 0
        self._received = 0
        self._told = 0
        self._resend_asked = False
        self.watch = linkmonitor.create_link_monitor()

    @property
    def key(self) -> str:
        """The peer's public key, which also identifies its incarnation."""
        return self._key

    @property
    def oldest(self) -> int:
        """Number of the oldest unacknowledged message; 0 for none."""
        if not self._kept:
            return 0
        return self._last - len(self._kept) + 1

    @property
    def waiting(self) -> int:
        """The number of unacknowledged messages."""
        return len(self._kept)

    @property
    def full(self) -> bool:
        """Whether too many bytes are unacknowledged to add a new call."""
        return self._kept_bytes >= MAX_UNACKNOWLEDGED_BYTES

    @property
    def owes_receipt(self) -> bool:
        """Whether received messages are not yet acknowledged to the peer."""
        return self._told != self._received

    def add(self, message: calls.Message) -> bytes:
        """Numbers and keeps a message; returns it encoded."""
        self._last += 1
        data = codec.encode(wire.Numbered(self._last, self._received, message))
        self._kept.append(data)
        self._kept_bytes += len(data)
        self._told = self._received
        return data

    def record_arrival(self, number: int) -> Arrival:
        """Records the arrival of a peer's message; returns how to treat it."""
        if number == self._received + 1:
            self._received = number
            self._resend_asked = False
            return _NEXT
        if number <= self._received:
            # The sender hasn't seen the receipt, so another one is sent.
            self._told = -1
            return _REPEATED
        return _EARLY

    def acknowledge(self, received: int) -> None:
        """Drops the messages that the peer has received."""
        first = self._last - len(self._kept) + 1
        for _ in range(min(received - first + 1, len(self._kept))):
            self._kept_bytes -= len(self._kept.popleft())

    def waiting_data(self) -> tuple[bytes, ...]:
        """Returns the unacknowledged messages, encoded, oldest first."""
        return tuple(self._kept)

    def receipt(self, resend: bool = False) -> bytes:
        """Returns an encoded receipt for the messages received so far."""
        self._told = self._received
        return codec.encode(wire.Receipt(self._received, resend))

    def ask_resend(self) -> bytes | None:
        """Returns an encoded request to resend, or None after the first."""
        if self._resend_asked:
            return None
        self._resend_asked = True
        return self.receipt(resend=True)

    def sync(self) -> bytes:
        """Returns an encoded message that asks the peer for a receipt."""
        first = self._last - len(self._kept) + 1
        return codec.encode(wire.Sync(first, self._last))

    def skip_to(self, first: int) -> bool:
        """Skips messages lost before `first`; returns whether any were."""
        if first <= self._received + 1:
            return False
        self._received = first - 1
        return True

    def has_all(self, last: int) -> bool:
        """Returns whether the peer's messages up to `last` were received."""
        return self._received >= last

    def lost_after(self, received: int) -> bool:
        """Returns whether the message after `received` was abandoned."""
        return received < self._last - len(self._kept)

    def abandon(self) -> None:
        """Drops all unacknowledged messages."""
        self._kept.clear()
        self._kept_bytes = 0


def create_link(key: str) -> Link:
    """Returns a new link to the peer with public key `key`."""
    return Link(key)
