"""Numbered messages between two daemons, kept until they are received.

A link outlives its connections: what a silent connection swallowed is sent
again over the next one, and what arrives twice or out of order is told by its
number. So a call is started once, and an answer goes on from the byte that it
had reached.
"""

import collections
import dataclasses

from savorybend.internal import linkmonitor
from savorybend.internal.wire import calls
from savorybend.internal.wire import codec
from savorybend.internal.wire import links as wire

# Most receipts travel with messages that go back anyway; one of its own is
# sent only when there was nothing else to send for this long.
RECEIPT_AFTER_S = 0.1
# New calls are refused beyond this, so that a peer that reads nothing can't
# fill the memory. Answers may exceed it, since windows and slots bound them.
KEPT_BYTES = 4 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Next:
    """The message is the next one, and is to be handled."""


@dataclasses.dataclass(frozen=True, slots=True)
class Repeated:
    """The message was handled before."""


@dataclasses.dataclass(frozen=True, slots=True)
class Early:
    """Messages before this one are missing."""


Arrival = Next | Repeated | Early

_NEXT = Next()
_REPEATED = Repeated()
_EARLY = Early()


class Link:
    """What two incarnations of daemons have exchanged so far.

    Its counters live as long as both processes, also while one takes the
    other for dead: a peer that was only frozen goes on where it stopped.
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
        """The peer's public key, which names its incarnation too."""
        return self._key

    @property
    def oldest(self) -> int:
        """Number of the oldest message without a receipt; 0 for none."""
        if not self._kept:
            return 0
        return self._last - len(self._kept) + 1

    @property
    def waiting(self) -> int:
        """Messages without a receipt."""
        return len(self._kept)

    @property
    def full(self) -> bool:
        """Whether so much waits that no new call is to be added."""
        return self._kept_bytes >= KEPT_BYTES

    @property
    def owes_receipt(self) -> bool:
        """Whether messages arrived that the peer wasn't told of."""
        return self._told != self._received

    def add(self, message: calls.Message) -> bytes:
        """Returns the next numbered message, which is kept."""
        self._last += 1
        data = codec.encode(wire.Numbered(self._last, self._received, message))
        self._kept.append(data)
        self._kept_bytes += len(data)
        self._told = self._received
        return data

    def arrived(self, number: int) -> Arrival:
        """Returns what to do with the peer's message of a number."""
        if number == self._received + 1:
            self._received = number
            self._resend_asked = False
            return _NEXT
        if number <= self._received:
            # Its sender hasn't seen the receipt, so it is owed another.
            self._told = -1
            return _REPEATED
        return _EARLY

    def settle(self, received: int) -> None:
        """Forgets what the peer has received."""
        first = self._last - len(self._kept) + 1
        for _ in range(min(received - first + 1, len(self._kept))):
            self._kept_bytes -= len(self._kept.popleft())

    def waiting_data(self) -> tuple[bytes, ...]:
        """Returns the messages without a receipt, the oldest first."""
        return tuple(self._kept)

    def receipt(self, resend: bool = False) -> bytes:
        """Returns a message that says what has arrived."""
        self._told = self._received
        return codec.encode(wire.Receipt(self._received, resend))

    def ask_resend(self) -> bytes | None:
        """Returns a message that asks for what is missing, once for a gap."""
        if self._resend_asked:
            return None
        self._resend_asked = True
        return self.receipt(resend=True)

    def sync(self) -> bytes:
        """Returns a message that asks the peer for a receipt."""
        first = self._last - len(self._kept) + 1
        return codec.encode(wire.Sync(first, self._last))

    def skip_to(self, first: int) -> bool:
        """Goes on at a number if those before it are lost; returns if so."""
        if first <= self._received + 1:
            return False
        self._received = first - 1
        return True

    def has_all(self, last: int) -> bool:
        """Returns whether the peer's messages up to a number have arrived."""
        return self._received >= last

    def lost_after(self, received: int) -> bool:
        """Returns whether the message after a number was abandoned."""
        return received < self._last - len(self._kept)

    def abandon(self) -> None:
        """Gives up what the peer hasn't received."""
        self._kept.clear()
        self._kept_bytes = 0


def create_link(key: str) -> Link:
    """Returns a link over which nothing was exchanged yet."""
    return Link(key)
