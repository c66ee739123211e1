"""HTTP/1.1 parsing, order of answers, and matching of responses."""

import pytest

from savorybend.relay import bytebudget
from savorybend.relay import callers
from savorybend.relay import calls
from savorybend.relay import responselimits
from savorybend.relay import upstream
from tests import fakes
from tests.relay import transports


def _callers(handler, most=1000):
    return callers.CallerServer(
        handler,
        fakes.create_clock(),
        calls.CallerLimits(),
        bytebudget.create_budget(1 << 24),
        most,
    )


def _connect(callers):
    connection = callers.create()
    transport = transports.RecordingTransport()
    connection.connection_made(transport)
    return connection, transport


def test_answers_to_pipelined_requests_go_back_in_order():
    seen = []
    connection, transport = _connect(_callers(seen.append))
    connection.data_received(
        b"GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n"
    )
    seen[1].reply(200, b"", b"second")
    assert transport.written == b""
    seen[0].reply(200, b"", b"first")
    assert transport.written.index(b"first") < transport.written.index(
        b"second"
    )


def test_a_request_in_many_parts_is_one_request():
    seen = []
    connection, _ = _connect(_callers(seen.append))
    text = b"POST /a/b?c=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
    for byte in text:
        connection.data_received(bytes([byte]))
    assert seen[0].target == b"/a/b?c=1"
    assert seen[0].body == b"body"


def test_a_chunked_body_is_whole():
    seen = []
    connection, _ = _connect(_callers(seen.append))
    connection.data_received(
        b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    )
    assert seen[0].body == b"abcde"


@pytest.mark.parametrize(
    "text",
    [
        b"nonsense\r\n\r\n",
        b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"GET /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
        b"Content-Length: 5\r\n\r\nabcde",
    ],
)
def test_what_is_no_single_request_is_refused_and_the_connection_ends(text):
    seen = []
    connection, transport = _connect(_callers(seen.append))
    connection.data_received(text)
    assert seen == []
    assert transport.written.startswith(b"HTTP/1.1 400 ")
    assert transport.closed


def test_a_head_beyond_the_limit_is_refused():
    seen = []
    connection, transport = _connect(_callers(seen.append))
    connection.data_received(
        b"GET /a HTTP/1.1\r\nHost: h\r\nX: " + b"y" * 20_000 + b"\r\n\r\n"
    )
    assert seen == []
    assert transport.written.startswith(b"HTTP/1.1 431 ")


def test_the_request_is_told_when_its_caller_has_left():
    seen = []
    connection, _ = _connect(_callers(seen.append))
    connection.data_received(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
    left = []
    seen[0].on_disconnect = lambda: left.append(True)
    connection.connection_lost(None)
    assert left == [True]


@pytest.mark.parametrize(
    "text",
    [
        b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody",
        b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"4\r\nbody\r\n0\r\n\r\n",
    ],
)
def test_a_request_broken_off_at_any_byte_is_not_passed_on(text):
    for cut in range(len(text)):
        seen = []
        connection, transport = _connect(_callers(seen.append))
        connection.data_received(text[:cut])
        connection.eof_received()
        connection.connection_lost(None)
        assert (seen, transport.written) == ([], b"")


def test_a_second_answer_to_a_request_is_not_sent():
    seen = []
    connection, transport = _connect(_callers(seen.append))
    request = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
    connection.data_received(request + request)
    seen[0].reply(200, b"", b"first")
    seen[0].reply(500, b"", b"again")
    seen[1].reply(200, b"", b"second")
    assert transport.written.count(b"HTTP/1.1 200 ") == 2
    assert b"again" not in transport.written


def test_an_answer_after_its_caller_left_is_not_sent():
    seen = []
    connection, transport = _connect(_callers(seen.append))
    connection.data_received(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
    transport.close()
    connection.connection_lost(None)
    seen[0].reply(200, b"", b"late")
    assert transport.written == b""


def test_unused_connections_end_when_there_are_too_many():
    # Refused callers reconnected until the process had no descriptors left, and
    # no connection was accepted for seconds.
    callers = _callers(lambda exchange: exchange.reply(200, b"", b""), most=3)
    first, first_transport = _connect(callers)
    _, second_transport = _connect(callers)
    callers.clock.advance(1.0)
    first.data_received(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
    third, third_transport = _connect(callers)
    _connect(callers)
    assert second_transport.closed
    assert not first_transport.closed
    third.data_received(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
    assert b"Connection: close" in third_transport.written


def _expecting(request_id):
    got = []
    ended = []
    idle = []
    connection = upstream.ServerConnection(
        idle.append,
        ended.append,
        responselimits.Limits(),
        bytebudget.create_budget(1 << 24),
    )
    transport = transports.RecordingTransport()
    connection.connection_made(transport)
    connection.send(
        b"request",
        upstream.PendingRequest(transports.match(request_id), got.append),
    )
    return connection, transport, got, idle


def test_a_response_to_another_request_is_passed_over():
    connection, transport, got, idle = _expecting(b"2")
    connection.data_received(
        b"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\nold"
        b"HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 3\r\n\r\nnew"
    )
    assert got[0].body == b"new"
    assert idle == []
    assert transport.closed


def test_a_second_response_ends_the_connection():
    connection, transport, got, idle = _expecting(b"1")
    answer = b"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 1\r\n\r\na"
    connection.data_received(answer)
    assert len(got) == 1
    connection.data_received(answer)
    assert transport.aborted
    assert len(got) == 1


def test_a_response_that_ends_early_is_broken():
    connection, _, got, _ = _expecting(b"1")
    connection.data_received(
        b"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nhalf"
    )
    connection.connection_lost(None)
    assert isinstance(got[0], upstream.NoResponse)


def test_a_response_without_length_is_whole_at_a_clean_end_only():
    text = b"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nall of it"
    connection, _, got, _ = _expecting(b"1")
    connection.data_received(text)
    connection.eof_received()
    assert got[0].body == b"all of it"
    connection, _, got, _ = _expecting(b"1")
    connection.data_received(text)
    connection.connection_lost(ConnectionResetError())
    assert isinstance(got[0], upstream.NoResponse)


def test_bytes_that_are_no_response_break_the_request_off():
    connection, transport, got, _ = _expecting(b"1")
    connection.data_received(b"garbage\r\n\r\n")
    assert got[0].garbled
    assert transport.aborted


def test_a_connection_is_unusable_before_its_caller_is_told_of_a_failure():
    # A request sent from the callback was dropped without a result.
    connection, _, _, _ = _expecting(b"1")
    usable = []
    connection.send(
        b"request",
        upstream.PendingRequest(
            transports.match(b"1"),
            lambda result: usable.append(connection.usable),
        ),
    )
    connection.data_received(b"garbage\r\n\r\n")
    assert usable == [False]


def test_a_target_beyond_the_limit_is_refused():
    # It was collected without end, and only headers were counted.
    seen = []
    connection, transport = _connect(_callers(seen.append))
    connection.data_received(b"GET /")
    for _ in range(400):
        if not transport.written:
            connection.data_received(b"a" * 100)
    assert seen == []
    assert transport.written.startswith(b"HTTP/1.1 431 ")


def test_an_error_in_the_handler_is_no_promise_that_nothing_ran():
    # It was answered with 400, though the request may have been passed on.
    def fail(exchange):
        raise RuntimeError("a mistake")

    connection, transport = _connect(_callers(fail))
    connection.data_received(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
    assert transport.written == b""
    assert transport.aborted
