"""Message streams over connections between daemons."""

import asyncio
import collections
import collections.abc
import socket
import typing

import structlog

from savorybend.internal import errors
from savorybend.relay import bytebudget
from savorybend.relay import framedecoder
from savorybend.relay import frames
from savorybend.relay import pacedwriter
from savorybend.relay import traffic
from savorybend.relay import writebatch

_log = structlog.get_logger()


class Reserve(typing.NamedTuple):
    """Room for the large messages on a connection.

    Attributes:
        budget: The room for bodies.
        use: What it is used for here.
        refuses: Whether messages without room are dropped; others wait.
    """

    budget: bytebudget.Budget
    use: bytebudget.Use
    refuses: bool


class Stream(asyncio.Protocol):
    """A connection that carries messages and batches their writes.

    Attributes:
        peer: Name of the daemon at the other end; empty while unknown.
        answered: Calls answered on this connection that the peer hasn't
            acknowledged.
        acknowledged: Number of answers that the peer has acknowledged.
        remote: Whether the peer is known to be in another data centre.
        follows: Whether the peer has requested the records in the store.
        told: The statement that was last sent to a peer which needs it once.
        told_once: Whether the peer needs each statement only once.
    """

    def __init__(
        self,
        on_message: collections.abc.Callable[["Stream", typing.Any], None],
        on_end: collections.abc.Callable[["Stream"], None],
        counts: traffic.Traffic,
        reserve: "Reserve",
    ):
        self._on_message = on_message
        self._on_end = on_end
        self._traffic = counts
        self._reserve = reserve
        self._decoder = framedecoder.FrameDecoder(self._on_begin)
        self._waiter: bytebudget.Waiter | None = None
        self._transport: asyncio.Transport | None = None
        self._writer = pacedwriter.create_paced_writer()
        self._out: list[bytes | memoryview] = []
        self._received_bytes = 0
        self.peer = ""
        self.answered: collections.deque[tuple[str, int]] = collections.deque()
        self.acknowledged = 0
        self.remote = False
        self.follows = False
        self.told: frames.Statement | None = None
        self.told_once = False

    @property
    def closed(self) -> bool:
        """Whether the connection isn't open, or is closing."""
        return self._transport is None or self._transport.is_closing()

    @property
    def writing(self) -> bool:
        """Whether messages wait to be written."""
        return bool(self._out) or self._writer.unsent_bytes > 0

    @property
    def progress(self) -> tuple[int, int]:
        """Changes whenever a part of a large message arrives or is written."""
        return (self._received_bytes, self._writer.pieces)

    @property
    def waiting(self) -> bool:
        """Whether nothing is read until there is room for a large message."""
        return self._waiter is not None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport and enables TCP keep-alive."""
        self._transport = transport
        self._writer.attach(transport)
        keep_alive(transport.get_extra_info("socket"))

    def pause_writing(self) -> None:
        """Stops writing, since the peer reads slowly."""
        self._writer.pause()

    def resume_writing(self) -> None:
        """Goes on writing."""
        self._writer.resume()

    def data_received(self, data: bytes) -> None:
        """Passes complete messages on; aborts if one is invalid."""
        self._received_bytes += len(data)
        self._receive(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Notifies the owner."""
        self._drop_bytes()
        self._on_end(self)

    def send(self, message: frames.Message) -> None:
        """Queues a message; it is sent when the current event ends."""
        if not self._out:
            writebatch.CURRENT.defer(self._flush)
        parts = frames.encode_parts(message)
        self._traffic.count_message(
            type(message).__name__, self.remote, sum(map(len, parts))
        )
        self._out += parts

    def abort(self) -> None:
        """Closes the connection at once."""
        self._drop_bytes()
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Sends queued messages, then closes the connection."""
        self._flush()
        if self._transport is not None:
            self._writer.close()

    def _receive(self, data: bytes) -> None:
        writebatch.CURRENT.begin()
        try:
            for message in self._decoder.feed(data):
                self._on_message(self, message)
            if self._decoder.awaited is not None and self._waiter is None:
                self._wait_for_room(self._decoder.awaited.size)
        except errors.InvalidMessageError as error:
            _log.warning("peer_refused", peer=self.peer, error=str(error))
            self.abort()
        finally:
            writebatch.CURRENT.end()

    def _flush(self) -> None:
        out, self._out = self._out, []
        if not out or self.closed:
            return
        small: list[bytes | memoryview] = []
        for part in out:
            if len(part) <= pacedwriter.WHOLE_BYTES:
                small.append(part)
                continue
            self._write_joined(small)
            self._writer.write(part)
            small = []
        self._write_joined(small)

    def _write_joined(self, parts: list[bytes | memoryview]) -> None:
        if parts:
            self._writer.write(b"".join(parts))

    def _on_begin(
        self, begin: framedecoder.Begin
    ) -> bytearray | framedecoder.Room:
        """Returns a buffer for a large message, or what is done without."""
        budget, use = self._reserve.budget, self._reserve.use
        if begin.size <= bytebudget.SMALL_BYTES and not self._reserve.refuses:
            return budget.hold_small(begin.size)
        buffer = budget.hold(use, begin.size)
        if buffer is not None:
            return buffer
        if self._reserve.refuses or not budget.fits(use, begin.size):
            budget.note_refusal(use)
            return framedecoder.Room.NONE
        return framedecoder.Room.LATER

    def _wait_for_room(self, size: int) -> None:
        self._transport.pause_reading()
        self._waiter = self._reserve.budget.hold_later(
            self._reserve.use, size, self._on_room
        )

    def _on_room(self, buffer: bytebudget.HeldBuffer) -> None:
        self._waiter = None
        if self.closed:
            return
        self._decoder.provide(buffer)
        self._transport.resume_reading()
        self._receive(b"")

    def _drop_bytes(self) -> None:
        """Drops what is to be sent and what was received in part."""
        self._out.clear()
        self._writer.clear()
        self._decoder = framedecoder.FrameDecoder(self._on_begin)
        if self._waiter is not None:
            self._waiter.cancel()
            self._waiter = None


def keep_alive(sock: socket.socket | None) -> None:
    """Enables TCP keep-alive, so that the kernel detects dead connections."""
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)
