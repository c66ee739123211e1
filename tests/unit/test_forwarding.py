"""A forwarded call gets the answer of the daemon and stream that it went to."""

import asyncio
import hashlib

import pytest

from savorybend.internal import bodies
from savorybend.internal import errors
from savorybend.internal import forwarding
from savorybend.internal import timers
from savorybend.internal.wire import calls
from tests import fakes
from tests import requests

_DEADLINE_S = 60.0


class _Transport:
    """Keeps what is sent, and delivers what a test says."""

    name = "front-1"

    def __init__(self):
        self.sent = []
        self.handlers = {}

    def subscribe(self, kind, handler):
        self.handlers[kind] = handler

    def subscribe_breaks(self, listener):
        self.break_off = listener

    def send(self, peer, message):
        self.sent.append((peer, message))

    def deliver(self, peer, message):
        self.handlers[type(message)](peer, message)


class _Setup:
    """A forwarder under a manual clock."""

    def __init__(self):
        self.transport = _Transport()
        self.clock = fakes.create_clock()
        self.timers = timers.create_manual_timer_service(self.clock)
        self.forwarder = forwarding.create_forwarder(
            self.transport, self.timers
        )

    async def start(self, peer):
        """Returns a call's task and its stream; all calls have one ID."""
        call = requests.create_lookup(
            deadline_s=self.clock.now_s() + _DEADLINE_S
        )
        task = asyncio.create_task(
            self.forwarder.execute(peer, call, bodies.EMPTY)
        )
        await asyncio.sleep(0)
        return task, self.transport.sent[-1][1].stream

    def answer(self, peer, stream, text, last=True):
        head = calls.AnswerHead(200, [], "ran", "", 0.0, peer, 0, False, 0.0)
        message = calls.AnswerStart(stream, head, text, last)
        self.transport.deliver(peer, message)

    def end(self, peer, stream, text):
        self.transport.deliver(peer, calls.AnswerChunk(stream, text, False))
        digest = hashlib.blake2b(text).digest()
        self.transport.deliver(
            peer, calls.AnswerChunk(stream, b"", True, len(text), digest)
        )


async def test_an_answer_belongs_to_the_stream_and_daemon_of_its_call():
    setup = _Setup()
    one, first = await setup.start("back-1")
    two, second = await setup.start("back-2")
    setup.answer("back-2", first, b"not asked there")
    setup.answer("back-1", second, b"not asked there")
    setup.answer("back-3", second, b"not asked there")
    setup.answer("back-2", second, b"two")
    setup.answer("back-2", second, b"once more")
    setup.answer("back-1", first, b"one")
    assert (await one).body.whole == b"one"
    assert (await two).body.whole == b"two"


@pytest.mark.parametrize("lost", ["cancelled", "late", "broken"])
async def test_an_answer_to_a_call_given_up_is_not_that_of_its_repeat(lost):
    setup = _Setup()
    task, given_up = await setup.start("back-1")
    match lost:
        case "cancelled":
            task.cancel()
        case "late":
            setup.clock.advance(_DEADLINE_S + 1)
            setup.timers.run_due()
        case "broken":
            setup.transport.break_off("back-1")
    await asyncio.wait({task})
    repeat, stream = await setup.start("back-1")
    assert stream != given_up
    setup.answer("back-1", given_up, b"late")
    await asyncio.sleep(0)
    assert not repeat.done()
    setup.answer("back-1", stream, b"own")
    assert (await repeat).body.whole == b"own"


async def test_a_streamed_answer_takes_no_part_of_another():
    setup = _Setup()
    task, stream = await setup.start("back-1")
    other, others_stream = await setup.start("back-1")
    setup.answer("back-1", stream, b"", last=False)
    setup.answer("back-1", others_stream, b"", last=False)
    # A second beginning, and parts from a daemon that wasn't asked.
    setup.answer("back-1", stream, b"other", last=True)
    setup.end("back-2", stream, b"other")
    setup.end("back-1", stream, b"own")
    setup.end("back-1", stream, b"again")
    setup.end("back-1", others_stream, b"others")
    assert await bodies.read_all((await task).body) == b"own"
    assert await bodies.read_all((await other).body) == b"others"


async def test_a_streamed_answer_that_misses_a_part_is_lost():
    setup = _Setup()
    task, stream = await setup.start("back-1")
    setup.answer("back-1", stream, b"", last=False)
    digest = hashlib.blake2b(b"whole").digest()
    setup.transport.deliver("back-1", calls.AnswerChunk(stream, b"wh", False))
    setup.transport.deliver(
        "back-1", calls.AnswerChunk(stream, b"", True, 5, digest)
    )
    with pytest.raises(errors.AnswerLostError):
        await bodies.read_all((await task).body)
