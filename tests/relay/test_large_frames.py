"""Large messages go through one buffer, which there must be room for."""

import hypothesis
import pytest
from hypothesis import strategies

from savorybend.internal import errors
from savorybend.relay import bytebudget
from savorybend.relay import framedecoder
from savorybend.relay import frames
from savorybend.relay import outcomes

_LOAD = outcomes.Load(1, 2, 3, 0.5, 1.0, {"a": outcomes.Share(0.5, "b")})
_LARGE = bytebudget.COUNTED_BYTES + 1
_SIZES = strategies.sampled_from([0, 100, _LARGE - 1, _LARGE, 70_000, 300_000])
_NUMBERS = strategies.sampled_from([0, 127, 128, 300, 70_000, 1 << 40])
_PIECES = strategies.lists(strategies.integers(1, 50_000), max_size=20)


def _run(number, size):
    return frames.Run(
        number,
        "r-1",
        b"POST",
        b"/photos/1",
        "shop.example",
        b"A: b\r\n",
        b"x" * size,
        "gallery",
        "photos",
        False,
        1,
        "maruyama",
        1.5,
        0.5,
    )


def _done(number, size):
    ran = outcomes.Ran(200, b"A: b\r\n", b"y" * size)
    return frames.Done(number, ran, _LOAD)


_MESSAGES = strategies.lists(
    strategies.one_of(
        strategies.builds(_run, _NUMBERS, _SIZES),
        strategies.builds(_done, _NUMBERS, _SIZES),
        strategies.just(frames.Ping(3, 4)),
    ),
    min_size=1,
    max_size=4,
)


def _pieces(data, sizes):
    for size in sizes:
        yield data[:size]
        data = data[size:]
    yield data


def _encoded(messages):
    return b"".join(
        b"".join(frames.encode_parts(message)) for message in messages
    )


@hypothesis.given(_MESSAGES, _PIECES)
def test_messages_are_whole_however_the_stream_is_cut(messages, sizes):
    decoder = framedecoder.FrameDecoder()
    found = []
    for piece in _pieces(_encoded(messages), sizes):
        found.extend(decoder.feed(piece))
    assert found == messages


@hypothesis.given(_MESSAGES)
def test_a_message_in_parts_is_what_another_version_decodes(messages):
    for message in messages:
        whole = b"".join(frames.encode_parts(message))
        assert frames.decode(memoryview(whole)[4:]) == message


def _number(message):
    match message:
        case frames.Run(number=number):
            return (frames.RUN_TAG, number)
        case frames.Done(number=number):
            return (frames.DONE_TAG, number)
    return None


def _is_large(message):
    return sum(map(len, frames.encode_parts(message))) - 4 > 16_384


@hypothesis.given(_MESSAGES, _PIECES)
def test_a_message_without_room_is_dropped_and_the_others_arrive(
    messages, sizes
):
    decoder = framedecoder.FrameDecoder(lambda begin: framedecoder.Room.NONE)
    found = []
    for piece in _pieces(_encoded(messages), sizes):
        found.extend(decoder.feed(piece))
    expected = [
        framedecoder.Dropped(*_number(one)) if _is_large(one) else one
        for one in messages
    ]
    assert found == expected


@hypothesis.given(_MESSAGES, _PIECES)
def test_a_message_that_waits_for_room_arrives_in_its_place(messages, sizes):
    decoder = framedecoder.FrameDecoder(lambda begin: framedecoder.Room.LATER)
    found = []
    for piece in _pieces(_encoded(messages), sizes):
        found.extend(decoder.feed(piece))
        while decoder.awaited is not None:
            assert list(decoder.feed(b"")) == []
            decoder.provide(bytearray(decoder.awaited.size))
            found.extend(decoder.feed(b""))
    assert found == messages


@pytest.mark.parametrize("tag", [13, 15, 18, 23])
def test_a_message_without_a_body_may_not_be_as_large_as_one(tag):
    size = (16 << 20) + 1
    data = size.to_bytes(4) + bytes([0x93, tag]) + bytes(100)
    with pytest.raises(errors.InvalidMessageError, match="exceeds"):
        list(framedecoder.FrameDecoder().feed(data))


@pytest.mark.parametrize(
    "begin",
    [b"\xdc\x00\x0f\x0b", b"\x9f\x0b\xc0", b"\x9f\x0b\xa1", b"\x81\x0b"],
)
def test_a_large_message_that_tells_no_number_is_refused(begin):
    data = (100_000).to_bytes(4) + begin + bytes(100)
    with pytest.raises(errors.InvalidMessageError):
        list(framedecoder.FrameDecoder().feed(data))


def test_a_large_body_is_not_copied():
    body = bytes(1_000_000)
    [_, part, _] = frames.encode_parts(
        frames.Done(1, outcomes.Ran(200, b"", body), _LOAD)
    )
    assert part.obj is body
    buffers = []

    def hold(begin):
        buffers.append(bytearray(begin.size))
        return buffers[-1]

    message = _run(1, 1_000_000)
    [found] = framedecoder.FrameDecoder(hold).feed(_encoded([message]))
    assert found.body.obj is buffers[0]
