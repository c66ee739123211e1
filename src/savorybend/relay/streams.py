"""Message streams over connections between daemons."""

import asyncio
import collections
import collections.abc
import socket
import typing

import structlog

from savorybend.internal import errors
from savorybend.relay import frames
from savorybend.relay import traffic
from savorybend.relay import writebatch

_log = structlog.get_logger()


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
    ):
        self._on_message = on_message
        self._on_end = on_end
        self._traffic = counts
        self._splitter = frames.FrameDecoder()
        self._transport: asyncio.Transport | None = None
        self._out: list[bytes] = []
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
        if self._out:
            return True
        return (
            self._transport is not None
            and self._transport.get_write_buffer_size() > 0
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport and enables TCP keep-alive."""
        self._transport = transport
        keep_alive(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Passes complete messages on; aborts if one is invalid."""
        writebatch.CURRENT.begin()
        try:
            for message in self._splitter.feed(data):
                self._on_message(self, message)
        except errors.InvalidMessageError as error:
            _log.warning("peer_refused", peer=self.peer, error=str(error))
            self.abort()
        finally:
            writebatch.CURRENT.end()

    def connection_lost(self, exc: Exception | None) -> None:
        """Notifies the owner."""
        self._on_end(self)

    def send(self, message: frames.Message) -> None:
        """Queues a message; it is sent when the current event ends."""
        if not self._out:
            writebatch.CURRENT.defer(self._flush)
        data = frames.encode(message)
        self._traffic.count_message(
            type(message).__name__, self.remote, len(data)
        )
        self._out.append(data)

    def abort(self) -> None:
        """Closes the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Sends queued messages, then closes the connection."""
        self._flush()
        if self._transport is not None:
            self._transport.close()

    def _flush(self) -> None:
        if not self._out:
            return
        data = b"".join(self._out)
        self._out.clear()
        if not self.closed:
            self._transport.write(data)


def keep_alive(sock: socket.socket | None) -> None:
    """Enables TCP keep-alive, so that the kernel detects dead connections."""
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)
