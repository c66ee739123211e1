"""Responses that are cut, spoiled, doubled or never end harm no other call."""

import asyncio
import contextlib
import itertools

import hypothesis
import pytest
from hypothesis import strategies

from savorybend.relay import bytebudget
from savorybend.relay import responselimits
from savorybend.relay import upstream
from tests.relay import transports

_LIMITS = responselimits.Limits(body_bytes=200_000)
# Room for responses: 1 MB.
_MEMORY_BYTES = 8_000_000
_ANSWER = b"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody"
_CHUNKED = (
    b"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3\r\nbod\r\n1\r\ny\r\n0\r\n\r\n"
)
_OK = b"HTTP/1.1 200 OK\r\nId: 1\r\n"
_ENDLESS = {
    "header lines": (_OK, b"X-Y: z\r\n"),
    "one header": (_OK + b"X: ", b"y" * 100),
    "a status line": (b"HTTP/1.1 200 ", b"OK" * 50),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "a chunked body": (
        _OK + b"Transfer-Encoding: chunked\r\n\r\n",
        b"64\r\n" + b"z" * 100 + b"\r\n",
    ),
    "a chunk extension": (
        _OK + b"Transfer-Encoding: chunked\r\n\r\n1;",
        b"e" * 100,
    ),
    "trailers": (
        _OK + b"Transfer-Encoding: chunked\r\n\r\n0\r\n",
        b"X-Y: z\r\n",
    ),
    "a body without length": (_OK + b"\r\n", b"z" * 100),
    "a body of a huge length": (
        _OK + b"Content-Length: 99999999999\r\n\r\n",
        b"z" * 100,
    ),
    "no response": (b"", b"z" * 100),
}


class _Call:
    """A connection on which one call waits."""

    def __init__(self, memory, request_id=b"1"):
        self.got = []
        self.idle = []
        self.transport = transports.RecordingTransport()
        self.connection = upstream.ServerConnection(
            self.idle.append, lambda ended: None, _LIMITS, memory
        )
        self.connection.connection_made(self.transport)
        self.send(request_id)

    def send(self, request_id):
        self.connection.send(
            b"request",
            upstream.PendingRequest(
                transports.match(request_id), self.got.append
            ),
        )

    def feed(self, data):
        if not (self.transport.is_closing() or self.transport.paused):
            self.connection.data_received(data)


def _memory():
    return bytebudget.create_budget(_MEMORY_BYTES)


def _held_bytes(memory):
    return sum(memory.held_bytes.values())


@pytest.mark.parametrize("name", _ENDLESS)
@pytest.mark.parametrize("size", [1, 1000, 65_536])
def test_a_response_without_end_is_given_up_within_its_limits(name, size):
    begin, repeated = _ENDLESS[name]
    memory = _memory()
    call = _Call(memory)
    text = itertools.chain(begin, itertools.cycle(repeated))
    received = 0
    # The body may be as large as the limit; all else is far smaller.
    while not call.got and received < 2 * _LIMITS.body_bytes + 1_000_000:
        data = bytes(itertools.islice(text, size))
        call.feed(data)
        received += len(data)
    assert isinstance(call.got[0], upstream.NoResponse)
    assert call.got[0].garbled
    assert call.transport.aborted
    assert not call.connection.usable
    assert _held_bytes(memory) == 0


async def test_many_bodies_without_end_leave_the_memory_to_small_calls():
    memory = _memory()
    begin, repeated = _ENDLESS["a body without length"]
    endless = [_Call(memory) for _ in range(50)]
    for call in endless:
        call.feed(begin)
    rounds = 0
    while not all(call.transport.aborted for call in endless):
        for call in endless:
            call.feed(repeated)
        await asyncio.sleep(0)
        held = memory.held_bytes
        responses = bytebudget.Use.RESPONSES
        assert held[responses] <= memory.limit_bytes(responses)
        assert held[bytebudget.Use.SMALL] <= len(endless) * 65_536
        rounds += 1
        assert rounds < 30_000
        small = _Call(memory)
        small.feed(_ANSWER)
        assert len(small.got) == 1
    assert _held_bytes(memory) == 0


def _pieces(text, cuts):
    places = sorted({0, len(text), *(cut % (len(text) + 1) for cut in cuts)})
    return [text[one:other] for one, other in itertools.pairwise(places)]


_CUTS = strategies.lists(strategies.integers(0, 1000), max_size=8)


@hypothesis.given(strategies.sampled_from([_ANSWER, _CHUNKED]), _CUTS)
def test_a_whole_answer_arrives_in_any_pieces(answer, cuts):
    call = _Call(_memory())
    for piece in _pieces(answer, cuts):
        call.feed(piece)
    assert [one.body for one in call.got] == [b"body"]
    assert call.connection.usable


@hypothesis.given(
    strategies.sampled_from([_ANSWER, _CHUNKED]),
    strategies.integers(0, 1000),
    _CUTS,
    strategies.booleans(),
)
def test_a_cut_answer_is_never_a_success(answer, length, cuts, clean):
    call = _Call(_memory())
    for piece in _pieces(answer[: length % len(answer)], cuts):
        call.feed(piece)
    if clean:
        call.connection.eof_received()
    call.connection.connection_lost(None if clean else ConnectionResetError())
    assert [type(one) for one in call.got] == [upstream.NoResponse]


@hypothesis.given(
    strategies.sampled_from([_ANSWER, _CHUNKED]),
    strategies.integers(0, 1000),
    strategies.binary(min_size=1, max_size=3),
    _CUTS,
)
def test_a_spoiled_answer_ends_once_and_releases_its_memory(
    answer, at, spoiled, cuts
):
    memory = _memory()
    call = _Call(memory)
    at %= len(answer)
    text = answer[:at] + spoiled + answer[at + len(spoiled) :]
    for piece in _pieces(text, cuts):
        call.feed(piece)
    call.connection.connection_lost(None)
    assert len(call.got) == 1
    assert _held_bytes(memory) == 0


@hypothesis.given(strategies.sampled_from([_ANSWER, _CHUNKED]), _CUTS)
def test_a_second_copy_never_answers_the_next_call(answer, cuts):
    # A server sent it late, on a connection that was in use again.
    call = _Call(_memory())
    call.feed(answer)
    assert len(call.got) == 1
    with contextlib.suppress(AttributeError):
        call.send(b"2")
    other = answer.replace(b"Id: 1", b"Id: 2").replace(b"body", b"next")
    other = other.replace(b"bod\r\n", b"nex\r\n").replace(b"\ny\r", b"\nt\r")
    for piece in _pieces(answer + other, cuts):
        call.feed(piece)
    assert [one.body for one in call.got[1:]] in ([], [b"next"])
    assert call.connection.usable is False


async def test_the_loop_turns_while_a_header_without_end_arrives():
    call = _Call(_memory())
    turns = 0

    async def count():
        nonlocal turns
        while not call.got:
            turns += 1
            await asyncio.sleep(0)

    counting = asyncio.create_task(count())
    call.feed(_OK + b"X: ")
    while not call.got:
        call.feed(b"y" * 16)
        await asyncio.sleep(0)
    await counting
    assert turns >= _LIMITS.head_bytes / 16 - 10


@pytest.mark.parametrize("sizes", [(150_000, 20_000), (20_000, 150_000)])
def test_one_answer_leaves_nothing_to_the_limits_of_the_next(sizes):
    call = _Call(_memory())
    for number, size in enumerate(sizes):
        if number:
            call.send(b"1")
        text = _OK + b"Content-Length: %d\r\n\r\n" % size + b"z" * size
        for piece in _pieces(text, range(0, len(text), 999)):
            call.feed(piece)
    assert [len(one.body) for one in call.got] == list(sizes)


def test_an_error_as_an_answer_is_handled_ends_the_connection():
    call = _Call(_memory())

    def fail(result):
        raise RuntimeError("a mistake")

    call.connection.send(
        b"request",
        upstream.PendingRequest(lambda headers: upstream.Match.OWN, fail),
    )
    call.feed(_ANSWER)
    assert call.transport.aborted


def test_a_large_surplus_answer_does_not_spoil_the_right_one():
    call = _Call(_memory(), b"2")
    surplus = _OK + b"Content-Length: 150000\r\n\r\n" + b"z" * 150_000
    text = surplus + _ANSWER.replace(b"Id: 1", b"Id: 2")
    for piece in _pieces(text, range(0, len(text), 999)):
        call.feed(piece)
    assert [one.body for one in call.got] == [b"body"]
