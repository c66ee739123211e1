"""Connections between daemons, as streams of messages."""

import asyncio
import collections
import collections.abc
import socket
import typing

import structlog

from savorybend.internal import errors
from savorybend.relay import frames
from savorybend.relay import writebatch

_log = structlog.get_logger()


class Stream(asyncio.Protocol):
    """A connection that carries messages, gathered into few writes.

    Attributes:
        peer: The daemon at the other end; empty before it said so.
        answered: Calls answered on it that the peer hasn't acknowledged.
        acknowledged: How many answers the peer has acknowledged.
    """

    def __init__(
        self,
        on_message: collections.abc.Callable[["Stream", typing.Any], None],
        on_end: collections.abc.Callable[["Stream"], None],
    ):
        self._on_message = on_message
        self._on_end = on_end
        self._splitter = frames.FrameDecoder()
        self._transport: asyncio.Transport | None = None
        self._out: list[bytes] = []
        self.peer = ""
        self.answered: collections.deque[tuple[str, int]] = collections.deque()
        self.acknowledged = 0

    @property
    def closed(self) -> bool:
        """Whether nothing can be sent any more."""
        return self._transport is None or self._transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Notes the connection."""
        self._transport = transport
        keep_alive(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Hands each whole message on."""
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
        """Tells the owner."""
        self._on_end(self)

    def send(self, message: frames.Message) -> None:
        """Sends a message with the others of this turn of the loop."""
        if not self._out:
            writebatch.CURRENT.defer(self._flush)
        self._out.append(frames.encode(message))

    def abort(self) -> None:
        """Ends the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Ends the connection after what was written."""
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
    """Has the system notice that a connection has gone silent."""
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)
