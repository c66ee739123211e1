"""An answer of a backend server is given to the request that it belongs to."""

import asyncio
import contextlib
import typing

import pytest

from savorybend.internal import backendserver
from savorybend.internal import bodies
from savorybend.internal import concurrency
from savorybend.internal import errors
from savorybend.internal import handles
from savorybend.internal import journal
from savorybend.internal import members
from savorybend.internal import quarantine
from savorybend.internal import records
from savorybend.internal import serving
from savorybend.internal import sessions
from savorybend.internal import timers
from standins import rawbackend
from tests import fakes
from tests import requests

_FIRST = rawbackend.create_response(200, b"the first answer")
_SECOND = rawbackend.create_response(500, b"the second answer")
_REFUSAL = rawbackend.create_response(
    503, b"", (("Savorybend-Outcome", "not-run"),)
)
# Between two calls: what the backend server writes meanwhile has arrived.
_PAUSE_S = 0.05
_DEADLINE_S = 5.0
_LOST = "backend-server-lost"


class _Transport:
    """Takes reports of crashes."""

    def __init__(self):
        self.sent = []

    def subscribe(self, kind, handler):
        """Does nothing, since no peer reports a crash."""

    def send(self, peer, message):
        self.sent.append(message)


class _Read(typing.NamedTuple):
    """An answer that was read to its end; the body is None if it broke off."""

    status: int
    outcome: str
    reason: str
    body: bytes | None


class _Site:
    """A serving side with a backend server that writes chosen bytes."""

    def __init__(self, server, session):
        self._clock = timers.SystemClock()
        self._sequence = 0
        directory = members.create_directory(fakes.create_record("m1"))
        gate = concurrency.create_gate(timers.create_timer_service())
        backend = backendserver.create_backend_server(gate)
        backend.take_announcement({"address": server.address, "slots": 8})
        self._serving = serving.create_serving(
            serving.Parts(
                daemon="m1",
                clock=self._clock,
                gate=gate,
                backend_server=backend,
                handles=handles.create_handles(),
                journal=journal.create_journal("m1", 10),
                records=records.create_records("m1", self._clock),
                quarantine=quarantine.create_quarantine(
                    quarantine.Parts(_Transport(), directory, self._clock)
                ),
                session=session,
            )
        )

    async def call(self, create=requests.create_lookup, **fields) -> _Read:
        """Makes a call of its own content, and reads its answer."""
        self._sequence += 1
        fields.setdefault("request_id", f"front-1.1.{self._sequence}")
        call = create(
            deadline_s=self._clock.now_s() + _DEADLINE_S,
            target=f"/back/{self._sequence}",
            **fields,
        )
        answer = await self._serving.execute(call, bodies.EMPTY)
        try:
            body = await bodies.read_all(answer.body)
        except errors.AnswerLostError:
            body = None
        outcome = answer.outcome.value
        return _Read(answer.status, outcome, answer.reason, body)


@contextlib.asynccontextmanager
async def _site(answer):
    server = rawbackend.create_raw_server(answer)
    async with server.serve(), sessions.create_session() as session:
        yield _Site(server, session)


async def _call_once(*segments, end=None, **fields):
    """Returns what is read where a server writes segments to one request."""

    async def answer(exchange):
        await exchange.write(*segments)
        if end is not None:
            end(exchange)

    async with _site(answer) as site:
        return await site.call(**fields)


async def _call_twice(answer, **fields):
    async with _site(answer) as site:
        first = await site.call(**fields)
        await asyncio.sleep(_PAUSE_S)
        return first, await site.call(**fields)


def _is_first(read):
    return read == _Read(200, "ran", "", b"the first answer")


def _is_second(read):
    return read == _Read(500, "ran", "", b"the second answer")


def _is_lost(read):
    if read.body is None:
        return True
    return (read.outcome, read.reason) == ("unknown", _LOST)


@pytest.mark.parametrize(
    "segments",
    [
        pytest.param((_FIRST, _FIRST), id="while the connection is idle"),
        pytest.param((_FIRST + _FIRST,), id="in one segment"),
        pytest.param((_FIRST[:-1], _FIRST[-1:] + _FIRST), id="with its end"),
        pytest.param((_FIRST, b"stray"), id="bytes that are no answer"),
        pytest.param((_FIRST, _FIRST[:20]), id="a head that breaks off"),
    ],
)
async def test_what_follows_an_answer_is_not_the_next_ones(segments):
    async def answer(exchange):
        if exchange.number == 1:
            await exchange.write(*segments)
        else:
            await exchange.write(_SECOND)

    first, second = await _call_twice(answer)
    assert _is_first(first)
    assert _is_second(second)


async def test_a_late_copy_does_not_answer_the_next_call():
    async def answer(exchange):
        if exchange.number == 1:
            await exchange.write(_FIRST)
        elif exchange.position == 1:
            await exchange.write(_SECOND)
        else:
            await exchange.write(_FIRST, _SECOND)

    first, second = await _call_twice(answer)
    assert _is_first(first)
    assert _is_second(second)


async def test_a_late_copy_does_not_answer_a_repeat_of_its_call():
    copy = rawbackend.create_response(
        200, b"the first answer", (("Savorybend-Request-Id", "front-1.1.1"),)
    )

    async def answer(exchange):
        if exchange.number == 1:
            await exchange.write(copy)
        elif exchange.position == 1:
            await exchange.write(_SECOND)
        else:
            await exchange.write(copy, _SECOND)

    first, second = await _call_twice(answer, request_id="front-1.1.1")
    assert _is_first(first)
    assert _is_second(second)


@pytest.mark.parametrize(
    "create", [requests.create_lookup, requests.create_call]
)
async def test_an_earlier_refusal_is_no_promise_that_the_next_did_not_run(
    create,
):
    async def answer(exchange):
        if exchange.number == 1:
            await exchange.write(_REFUSAL)
        elif exchange.position == 1:
            await exchange.write(_SECOND)
        else:
            await exchange.write(_REFUSAL, _SECOND)

    first, second = await _call_twice(answer, create=create)
    assert (first.outcome, first.reason) == ("not-run", "backend-server-shed")
    assert _is_second(second)


async def test_a_copy_that_breaks_off_is_not_joined_to_the_next_answer():
    for cut in range(1, len(_FIRST)):

        async def answer(exchange, cut=cut):
            if exchange.number == 1:
                await exchange.write(_FIRST)
            elif exchange.position == 1:
                await exchange.write(_SECOND)
            else:
                await exchange.write(_FIRST[:cut] + _SECOND)

        _, second = await _call_twice(answer)
        assert _is_second(second), _FIRST[:cut]


@pytest.mark.parametrize("pieces", [1, 2])
async def test_an_answer_that_is_begun_twice_is_not_joined(pieces):
    # The status is that of the answer begun last, which is the whole one.
    for cut in range(1, len(_FIRST)):
        segments = [_FIRST[:cut], _SECOND]
        if pieces == 1:
            segments = [b"".join(segments)]
        read = await _call_once(*segments)
        assert _is_lost(read), _FIRST[:cut]


@pytest.mark.parametrize("end", ["end", "reset"])
async def test_an_answer_that_breaks_off_is_lost(end):
    chunked = (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"5\r\nwhole\r\n0\r\n\r\n"
    )
    leave = getattr(rawbackend.Exchange, end)
    for whole in (_FIRST, chunked, _REFUSAL):
        for cut in range(len(whole)):
            read = await _call_once(whole[:cut], end=leave)
            assert _is_lost(read), whole[:cut]


async def test_an_answer_without_length_ends_with_its_connection():
    begun = b"HTTP/1.1 200 OK\r\n\r\nsome of it"
    ended = await _call_once(begun, end=rawbackend.Exchange.end)
    assert ended == _Read(200, "ran", "", b"some of it")
    reset = await _call_once(begun, end=rawbackend.Exchange.reset)
    assert _is_lost(reset)


@pytest.mark.parametrize(
    ("method", "status"), [("HEAD", 200), ("GET", 204), ("GET", 304)]
)
async def test_an_answer_that_has_no_body_is_whole_at_its_heads_end(
    method, status
):
    head = f"HTTP/1.1 {status} Some Reason\r\n\r\n".encode()
    read = await _call_once(head, method=method)
    assert read == _Read(status, "ran", "", b"")


async def test_an_answer_without_length_is_not_joined_to_another():
    begun = b"HTTP/1.1 200 OK\r\n\r\nsome of it"
    for segments in ((begun + _SECOND,), (begun, _SECOND[:7], _SECOND[7:])):
        read = await _call_once(*segments, end=rawbackend.Exchange.end)
        assert read.body is None


@pytest.mark.parametrize("status", [100, 102, 103])
async def test_an_interim_response_is_not_the_answer(status):
    interim = f"HTTP/1.1 {status} Interim\r\nLink: x\r\n\r\n".encode()
    for segments in ((interim + _SECOND,), (interim, interim, _SECOND)):
        assert _is_second(await _call_once(*segments))


async def test_a_change_of_protocol_that_was_not_asked_for_is_no_answer():
    head = (
        b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n"
    )
    assert _is_lost(await _call_once(head))


@pytest.mark.parametrize(
    ("named", "used"),
    [
        ((), True),
        (("front-1.1.a",), True),
        # The headers of a child call's answer, passed on.
        (("front-1.1.a/2",), True),
        (("front-1.1.b",), False),
        (("front-1.1.a1",), False),
        (("",), False),
        (("front-1.1.a", "front-1.1.b"), False),
        (("front-1.1.a", "front-1.1.a"), False),
    ],
)
@pytest.mark.parametrize("outcome", ["", "not-run"])
async def test_an_answer_with_the_id_of_another_request_is_not_used(
    named, used, outcome
):
    headers = [("Savorybend-Request-Id", name) for name in named]
    if outcome:
        headers.append(("Savorybend-Outcome", outcome))
    response = rawbackend.create_response(503, b"", tuple(headers))
    read = await _call_once(response, request_id="front-1.1.a")
    if used:
        assert read.outcome == (outcome or "ran")
    else:
        assert _is_lost(read)


@pytest.mark.parametrize("size", [100, 10 * bodies.INLINE_BYTES])
async def test_an_answer_about_the_protocol_is_whole(size):
    # A body may hold what another response begins with.
    body = b"HTTP/1.1 500 Internal Server Error\r\n".ljust(size, b".")
    response = rawbackend.create_response(200, body)
    assert (await _call_once(response)).body == body


async def test_a_streamed_answer_that_is_begun_twice_is_not_joined():
    body = bytes(2 * bodies.INLINE_BYTES)
    first = rawbackend.create_response(200, body)
    second = rawbackend.create_response(500, body)
    read = await _call_once(first[:-10_000] + second)
    assert read.body is None


async def test_a_refusal_is_uncertain_if_an_answer_follows_it():
    # The server may have run the call all the same.
    read = await _call_once(_REFUSAL + _FIRST)
    assert (read.outcome, read.reason) == ("unknown", _LOST)
    read = await _call_once(_REFUSAL)
    assert read.outcome == "not-run"


@pytest.mark.parametrize(
    "protocol", [b"HTTP/1.0", b"HTTP/2.0", b"HTTP/0.9", b"http/1.1"]
)
async def test_an_answer_of_any_version_is_found_within_another(protocol):
    other = _SECOND.replace(b"HTTP/1.1", protocol)
    head = _FIRST.partition(b"\r\n")[0] + b"\r\nServer: re"
    assert _is_lost(await _call_once(head + other))
