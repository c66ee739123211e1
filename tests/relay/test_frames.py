"""Messages are decoded however the stream is split; others are refused."""

import hypothesis
import pytest
from hypothesis import strategies

from savorybend.internal import errors
from savorybend.relay import framedecoder
from savorybend.relay import frames
from savorybend.relay import outcomes

_LOAD = outcomes.Load(1, 2, 3, 0.5, 1.0, {})
_MESSAGES = [
    frames.Ping(3, 4),
    frames.Done(7, outcomes.Ran(200, b"A: b\r\n", b"x" * 100), _LOAD),
    frames.Done(8, outcomes.NotRun("overloaded", 0.5), _LOAD),
    frames.Done(9, outcomes.Lost("garbled"), _LOAD),
    frames.Cancel(5),
]


@hypothesis.given(cuts=strategies.lists(strategies.integers(1, 40)))
def test_messages_are_whole_however_the_stream_is_cut(cuts):
    stream = b"".join(frames.encode(message) for message in _MESSAGES)
    splitter = framedecoder.FrameDecoder()
    found = []
    for size in cuts:
        found.extend(splitter.feed(stream[:size]))
        stream = stream[size:]
    found.extend(splitter.feed(stream))
    assert found == _MESSAGES


def test_data_of_another_protocol_is_refused():
    with pytest.raises(errors.InvalidMessageError):
        list(framedecoder.FrameDecoder().feed(b"GET / HTTP/1.1\r\n\r\n"))


def test_an_unknown_message_is_refused():
    with pytest.raises(errors.InvalidMessageError):
        list(framedecoder.FrameDecoder().feed(b"\0\0\0\x01\xc0"))
