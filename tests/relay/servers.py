"""A backend server that writes chosen bytes to the connections of a pool."""

import asyncio
import contextlib
import typing
from unittest import mock

from savorybend.platform import headers
from savorybend.relay import backgroundtasks
from savorybend.relay import bytebudget
from savorybend.relay import calls
from savorybend.relay import pool
from tests import fakes
from tests.relay import transports

_TURNS = 5


class Sent(typing.NamedTuple):
    """A request that was sent to the server.

    Attributes:
        number: Number of the request, from 0, over all connections.
        connection: The connection that it was sent on.
        outcomes: What its caller was told; one entry at most.
    """

    number: int
    connection: "Connection"
    outcomes: list


class Connection:
    """The server's end of a connection.

    Attributes:
        requests: Numbers of the requests received on it.
        transport: The transport of the other end.
        protocol: The other end.
    """

    def __init__(self, protocol):
        self.requests = []
        self.transport = transports.RecordingTransport()
        self.protocol = protocol
        self._waiting = b""
        self._ended = False
        protocol.connection_made(self.transport)

    @property
    def open(self):
        """Whether the other end still reads."""
        return not (self._ended or self.transport.closed)

    def write(self, data):
        """Writes bytes that arrive when they are delivered."""
        self._waiting += data

    def deliver(self, most=None):
        """Delivers what was written, or the first bytes of it."""
        size = len(self._waiting) if most is None else most
        data, self._waiting = self._waiting[:size], self._waiting[size:]
        if data and self.open:
            self.protocol.data_received(data)

    def end(self, reset=False):
        """Delivers what was written, and ends the connection."""
        self.deliver()
        if self._ended:
            return
        self._ended = True
        if not reset and not self.transport.closed:
            self.protocol.eof_received()
        self.protocol.connection_lost(ConnectionResetError() if reset else None)


class Server:
    """A server at the other end of a pool.

    Attributes:
        connections: All connections, in the order of their opening.
        sent: All requests, in order.
    """

    def __init__(self):
        self.connections = []
        self.sent = []
        self.clock = fakes.create_clock()
        self.answers = []
        self._tasks = backgroundtasks.create_background_tasks()
        self.pool = pool.Pool(
            "127.0.0.1:1",
            headers.Backend(),
            self.clock,
            self._tasks.start,
            bytebudget.create_budget(1 << 28),
            self.answers.append,
        )

    async def send(self, request_id):
        """Sends a request through the pool; returns it."""
        call = calls.Call()
        call.request_id = request_id
        call.method, call.target, call.host = b"GET", b"/reads/1", "shop"
        call.head = b"Request-Id: %s\r\n" % request_id.encode()
        call.body = b""
        call.deadline_s = self.clock.now_s() + 3.0
        told = []
        dispatch = self.pool.dispatch(call, "i-1", told.append)
        for _ in range(_TURNS):
            await asyncio.sleep(0)
        [connection] = [
            one
            for one in self.connections
            if one.protocol is dispatch.connection
        ]
        sent = Sent(len(self.sent), connection, told)
        connection.requests.append(sent.number)
        self.sent.append(sent)
        return sent

    async def connect(self, create_protocol, *address):
        """Opens a connection; stands in for the event loop's function."""
        connection = Connection(create_protocol())
        self.connections.append(connection)
        return connection.transport, connection.protocol


@contextlib.contextmanager
def started():
    """Yields a server that every connection of the running loop leads to."""
    server = Server()
    loop = asyncio.get_running_loop()
    with mock.patch.object(loop, "create_connection", server.connect):
        yield server


def chunked(request_id, body):
    """Returns the bytes of an answer of status 200 in two chunks."""
    first, other = body[:4], body[4:]
    return (
        b"HTTP/1.1 200 OK\r\nServer: reads 1\r\nRequest-Id: %s\r\n"
        b"Response-Signature: p\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n"
        % (request_id, len(first), first, len(other), other)
    )


def answer(request_id, status=200, proof=b"p", body=b"body", executed=True):
    """Returns the bytes of an answer, with a header before the ID."""
    refused = b"" if executed else b"Not-Executed: 1\r\n"
    named = b"Request-Id: %s\r\n" % request_id if request_id else b""
    return (
        b"HTTP/1.1 %d Some Reason\r\nServer: reads 1\r\n%s"
        b"Response-Signature: %s\r\n%sContent-Length: %d\r\n\r\n%s"
        % (status, named, proof, refused, len(body), body)
    )
