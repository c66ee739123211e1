"""Bodies of requests are read only while there is room for them."""

import asyncio

import hypothesis
import pytest
from hypothesis import strategies

from savorybend.relay import bytebudget
from savorybend.relay import callers
from savorybend.relay import calls
from tests import fakes
from tests.relay import transports

# Room for requests: 34 MB.
_MEMORY_BYTES = 100_000_000
_LARGE_BYTES = 20_000_000
_REQUESTS = bytebudget.Use.REQUESTS
_PIECE_BYTES = 65_536


class _Listener:
    """A listener with callers; requests are collected."""

    def __init__(self, **limits):
        self.requests = []
        self.clock = fakes.create_clock()
        self.budget = bytebudget.create_budget(_MEMORY_BYTES)
        self.limits = calls.CallerLimits(**limits)
        self.server = callers.CallerServer(
            self._handle, self.clock, self.limits, self.budget
        )

    @property
    def held_bytes(self):
        return sum(self.budget.held_bytes.values())

    def connect(self):
        connection = self.server.create()
        transport = transports.RecordingTransport()
        connection.connection_made(transport)
        return connection, transport

    def wait(self, seconds):
        self.clock.advance(seconds)
        self.server.sweep()

    def _handle(self, exchange):
        if exchange.lacks_room:
            exchange.reply(503, b"", b"")
        else:
            self.requests.append(exchange)


def _head(size):
    return b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % size


def _send(connection, transport, size):
    """Sends bytes of a body while they are read; returns how many weren't."""
    while size and not (transport.paused or transport.closed):
        piece = min(size, _PIECE_BYTES)
        connection.data_received(b"z" * piece)
        size -= piece
    return size


def _start(listener, size):
    connection, transport = listener.connect()
    connection.data_received(_head(size))
    return connection, transport, _send(connection, transport, size)


async def test_an_upload_waits_until_the_one_before_is_done():
    listener = _Listener()
    first, _, _ = _start(listener, _LARGE_BYTES)
    second, transport, left = _start(listener, _LARGE_BYTES)
    assert transport.paused
    assert len(listener.requests) == 1
    listener.requests.pop().reply(200, b"", b"")
    await asyncio.sleep(0)
    assert not transport.paused
    _send(second, transport, left)
    [request] = listener.requests
    assert request.body == b"z" * _LARGE_BYTES
    assert first is not second


async def test_an_upload_that_waits_too_long_is_refused_before_it_is_read():
    listener = _Listener()
    first, _, _ = _start(listener, _LARGE_BYTES)
    connection, transport, left = _start(listener, _LARGE_BYTES)
    listener.wait(0.9)
    assert transport.written == b""
    listener.wait(0.2)
    assert transport.written.startswith(b"HTTP/1.1 503 ")
    assert b"Connection: close\r\n" in transport.written
    # Closing now would reset the connection, and the answer be lost.
    assert not transport.closed
    assert _send(connection, transport, left) == 0
    assert transport.closed
    assert listener.budget.held_bytes[_REQUESTS] == _LARGE_BYTES
    assert len(listener.requests) == 1
    assert first.pending == 1


async def test_small_requests_go_on_while_uploads_wait():
    listener = _Listener()
    for _ in range(3):
        _start(listener, _LARGE_BYTES)
    _start(listener, 60_000)
    _start(listener, 10)
    connection, _ = listener.connect()
    connection.data_received(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
    sizes = [len(request.body) for request in listener.requests]
    assert sizes == [_LARGE_BYTES, 60_000, 10, 0]


async def test_only_some_uploads_wait_for_room():
    listener = _Listener()
    started = [_start(listener, _LARGE_BYTES) for _ in range(30)]
    refused = [
        transport
        for _, transport, _ in started
        if transport.written.startswith(b"HTTP/1.1 503 ")
    ]
    assert len(refused) == 30 - 1 - 16


def test_an_upload_beyond_all_room_is_refused_at_once():
    listener = _Listener()
    _, transport, _ = _start(listener, 60_000_000)
    assert transport.written.startswith(b"HTTP/1.1 503 ")
    assert listener.held_bytes == 0


@pytest.mark.parametrize("framing", ["length", "chunks"])
def test_a_body_beyond_the_limit_is_refused_at_once(framing):
    # With a length it was read up to the limit first, and closing the
    # connection under the caller's bytes could reset it before the answer.
    listener = _Listener(body_bytes=1_000_000)
    connection, transport = listener.connect()
    if framing == "length":
        connection.data_received(_head(1_000_001))
    else:
        connection.data_received(
            b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"fffffff\r\n"
        )
        _send(connection, transport, 1_000_001)
    assert transport.written.startswith(b"HTTP/1.1 413 ")
    assert not transport.closed
    assert listener.held_bytes == 0
    _send(connection, transport, 500_000)
    listener.wait(9.0)
    assert not transport.closed
    listener.wait(2.0)
    assert transport.closed


def test_a_body_without_length_takes_room_as_it_grows():
    listener = _Listener()
    begin = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    started = [listener.connect() for _ in range(3)]
    for connection, _ in started:
        connection.data_received(begin)
    for _ in range(400):
        for connection, _ in started:
            connection.data_received(b"10000\r\n" + b"z" * 65_536 + b"\r\n")
        held_bytes = listener.budget.held_bytes[_REQUESTS]
        assert held_bytes <= listener.budget.limit_bytes(_REQUESTS)
    for connection, _ in started:
        connection.data_received(b"0\r\n\r\n")
    refused = [one.written.startswith(b"HTTP/1.1 503 ") for _, one in started]
    assert sorted(refused) == [False, True, True]
    [request] = listener.requests
    assert request.body == b"z" * (400 * 65_536)


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(1, 30_000_000),
            strategies.floats(0, 1),
            strategies.sampled_from(["answer", "leave", "stay"]),
        ),
        max_size=8,
    )
)
async def test_the_room_is_whole_again_whatever_callers_do(uploads):
    # Callers that left in the middle of their uploads held 340 MB of 200.
    listener = _Listener()
    connections = []
    for size, part, end in uploads:
        connection, transport = listener.connect()
        connection.data_received(_head(size))
        _send(connection, transport, int(size * part))
        connections.append(connection)
        for use in bytebudget.Use:
            held_bytes = listener.budget.held_bytes[use]
            assert held_bytes <= listener.budget.limit_bytes(use)
        match end:
            case "answer":
                for request in listener.requests:
                    request.reply(200, b"", b"")
                listener.requests.clear()
            case "leave":
                connection.connection_lost(None)
        await asyncio.sleep(0)
    for connection in connections:
        connection.connection_lost(None)
    listener.requests.clear()
    await asyncio.sleep(0)
    assert listener.held_bytes == 0
    assert listener.budget.waiting == 0


def test_an_upload_that_stops_in_the_middle_gives_its_room_back():
    listener = _Listener()
    connection, transport = listener.connect()
    connection.data_received(_head(_LARGE_BYTES))
    connection.data_received(b"z" * 1000)
    listener.wait(14.0)
    connection.data_received(b"z")
    listener.wait(14.0)
    assert not transport.closed
    listener.wait(2.0)
    assert transport.closed
    connection.connection_lost(None)
    assert listener.held_bytes == 0


_ENDLESS = {
    "a target": (b"GET /", b"a" * 100),
    "a header": (b"GET /a HTTP/1.1\r\nX: ", b"y" * 100),
    "a header's name": (b"GET /a HTTP/1.1\r\nX", b"x" * 100),
    "header lines": (b"GET /a HTTP/1.1\r\n", b"X-Y: z\r\n"),
    "trailers": (
        b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"0\r\nT: ",
        b"t" * 100,
    ),
    "a chunk extension": (
        b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;",
        b"e" * 100,
    ),
}


@pytest.mark.parametrize("name", _ENDLESS)
def test_a_head_or_framing_without_end_is_refused(name):
    # The parser kept a header until its end, which never came.
    begin, repeated = _ENDLESS[name]
    listener = _Listener()
    connection, transport = listener.connect()
    connection.data_received(begin)
    sent = 0
    while not transport.written:
        connection.data_received(repeated)
        sent += len(repeated)
        assert sent <= 5 * listener.limits.header_bytes
    assert transport.written.split()[1] in (b"400", b"431")
    assert transport.closed
    assert not listener.requests


def test_a_head_behind_a_large_body_counts_by_itself():
    listener = _Listener()
    connection, transport = listener.connect()
    body = b"z" * 100_000
    head = _head(0)
    connection.data_received(_head(len(body)) + body + head[:20])
    connection.data_received(head[20:])
    assert len(listener.requests) == 2
    assert transport.written == b""


@pytest.mark.parametrize("size", [1, 7, 1000])
def test_a_head_just_within_its_limit_is_taken_in_any_pieces(size):
    # Its limit counts names and values, and not what stands between them.
    listener = _Listener()
    lines = b"".join(b"x%d: y\r\n" % (n % 10) for n in range(5_000))
    head = b"GET /a HTTP/1.1\r\nHost: h\r\n" + lines + b"\r\n"
    connection, transport = listener.connect()
    for begin in range(0, len(head), size):
        connection.data_received(head[begin : begin + size])
    assert transport.written == b""
    assert len(listener.requests) == 1


def _reply_all(listener, body):
    for request in listener.requests:
        request.reply(200, b"", body)
    listener.requests.clear()


def test_no_requests_are_read_from_a_caller_that_takes_no_answers():
    # Each was answered, and the answers were kept without end.
    listener = _Listener()
    connection, transport = listener.connect()
    connection.data_received(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
    connection.pause_writing()
    assert transport.paused
    _reply_all(listener, b"z" * 100_000)
    connection.resume_writing()
    assert not transport.paused
    assert transport.written.endswith(b"z" * 100_000)


class _SlowTransport(transports.RecordingTransport):
    """Has bytes that its caller hasn't taken yet."""

    unsent_bytes = 100_000

    def get_write_buffer_size(self):
        return self.unsent_bytes


def _connect_slow(listener):
    connection = listener.server.create()
    transport = _SlowTransport()
    connection.connection_made(transport)
    connection.data_received(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
    _reply_all(listener, b"z" * 100_000)
    return transport


def test_a_caller_that_takes_nothing_for_too_long_is_given_up():
    listener = _Listener()
    transport = _connect_slow(listener)
    listener.wait(1.0)
    listener.wait(14.0)
    assert not transport.aborted
    listener.wait(2.0)
    assert transport.aborted


def test_a_caller_that_takes_an_answer_slowly_is_not_given_up():
    listener = _Listener()
    transport = _connect_slow(listener)
    for _ in range(10):
        listener.wait(10.0)
        transport.unsent_bytes -= 1000
    assert not transport.closed
