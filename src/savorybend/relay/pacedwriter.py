"""Writes to a transport no faster than it takes the data.

A transport copies what it can't send at once. Large data is therefore given to
it in pieces, so that a slow reader costs no second copy.
"""

import asyncio
import collections

# Data up to this size is given to the transport whole.
WHOLE_BYTES = 16_384
_PIECE_BYTES = 32_768
# The transport says so when its own buffer holds more than this.
_MAX_BUFFERED_BYTES = 32_768

Data = bytes | bytearray | memoryview


class PacedWriter:
    """Writes to one transport, in order."""

    __slots__ = ("_transport", "_pending", "_paused", "_closing", "_pieces")

    def __init__(self):
        self._transport: asyncio.Transport | None = None
        self._pending: collections.deque[memoryview] = collections.deque()
        self._paused = False
        self._closing = False
        self._pieces = 0

    @property
    def pieces(self) -> int:
        """Number of pieces of large data that the transport has taken."""
        return self._pieces

    @property
    def paused(self) -> bool:
        """Whether the transport takes no data at the moment."""
        return self._paused

    @property
    def unsent_bytes(self) -> int:
        """Bytes that were not sent yet, those of the transport included."""
        if self._transport is None:
            return 0
        pending = sum(len(one) for one in self._pending)
        return pending + self._transport.get_write_buffer_size()

    def attach(self, transport: asyncio.Transport) -> None:
        """Sets the transport to write to."""
        self._transport = transport
        transport.set_write_buffer_limits(high=_MAX_BUFFERED_BYTES)

    def write(self, data: Data) -> None:
        """Writes data; what is large is not copied, and must not change."""
        if not self._pending and len(data) <= WHOLE_BYTES:
            self._transport.write(data)
            return
        self._pending.append(memoryview(data))
        self._pump()

    def close(self) -> None:
        """Closes the transport once everything is written."""
        self._closing = True
        if not self._pending:
            self._transport.close()

    def clear(self) -> None:
        """Drops what wasn't given to the transport."""
        self._pending.clear()

    def pause(self) -> None:
        """Stops writing until `resume`."""
        self._paused = True

    def resume(self) -> None:
        """Goes on writing."""
        self._paused = False
        self._pump()

    def _pump(self) -> None:
        while self._pending and not self._paused:
            if self._transport.is_closing():
                self._pending.clear()
                return
            data = self._pending.popleft()
            if len(data) > _PIECE_BYTES:
                self._pending.appendleft(data[_PIECE_BYTES:])
            self._transport.write(data[:_PIECE_BYTES])
            self._pieces += 1
        if self._closing and not self._pending:
            self._transport.close()


def create_paced_writer() -> PacedWriter:
    """Returns a writer without a transport."""
    return PacedWriter()
