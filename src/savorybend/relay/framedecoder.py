"""Splits a byte stream between daemons into messages.

A large message is collected in one buffer, which there must be room for.
"""

import collections.abc
import enum
import typing

import msgspec

from savorybend.internal import errors
from savorybend.relay import bytebudget
from savorybend.relay import frames

_PREFIX_BYTES = 4
# The largest body that callers may send, and its head.
_MAX_MESSAGE_BYTES = (64 << 20) + (1 << 17)
# Messages without a body; a configuration or the records are far smaller.
_MAX_CONTROL_BYTES = 16 << 20
# What tells a message's tag and its first field: a MessagePack array header
# and two integers.
_BEGIN_BYTES = 16
_SHORT_ARRAY = 0x90
# Sizes of an unsigned integer with its type, by type; others have one byte.
_INTEGER_BYTES = {0xCC: 2, 0xCD: 3, 0xCE: 5, 0xCF: 9}
_BEGIN_DECODER = msgspec.msgpack.Decoder(tuple[int, int])


class Begin(typing.NamedTuple):
    """The beginning of a large message about a call.

    Attributes:
        tag: `frames.RUN_TAG` or `frames.DONE_TAG`.
        number: The sender's number for the call.
        size: Size of the message, in bytes.
    """

    tag: int
    number: int
    size: int


class Dropped(typing.NamedTuple):
    """A large message about a call that was dropped for want of room.

    Attributes:
        tag: `frames.RUN_TAG` or `frames.DONE_TAG`.
        number: The sender's number for the call.
    """

    tag: int
    number: int


class Room(enum.Enum):
    """What is done with a large message without room for it."""

    NONE = "it is dropped as it arrives"
    LATER = "nothing more is decoded until there is room"


OnBegin = collections.abc.Callable[[Begin], bytearray | Room]


def _allocate(begin: Begin) -> bytearray:
    return bytearray(begin.size)


class FrameDecoder:
    """Splits a byte stream into messages.

    Large messages are collected in a buffer that its user provides.
    """

    def __init__(self, on_begin: OnBegin = _allocate):
        self._on_begin = on_begin
        # What isn't decoded yet; the beginning of a message.
        self._rest = bytearray()
        # The large message that is being received.
        self._buffer: bytearray | None = None
        self._buffer_bytes = 0
        self._begin: Begin | None = None
        self._waiting = False
        self._to_drop_bytes = 0

    @property
    def awaited(self) -> Begin | None:
        """The large message that needs room before it is decoded."""
        return self._begin if self._waiting else None

    def provide(self, buffer: bytearray | None) -> None:
        """Provides room for the awaited message; None drops it."""
        self._waiting = False
        self._buffer = buffer
        if buffer is None:
            self._to_drop_bytes = self._begin.size

    def feed(
        self, data: bytes | memoryview
    ) -> collections.abc.Iterator[typing.Any]:
        """Yields the messages that are complete with this data.

        Raises:
            errors.InvalidMessageError: The data isn't a valid message.
        """
        if self._rest or self._waiting:
            self._rest += data
            if self._waiting:
                return
            data, self._rest = bytes(self._rest), bytearray()
        view = memoryview(data)
        while len(view):
            if self._begin is not None:
                view = yield from self._take_large(view)
                continue
            size = self._message_bytes(view)
            if size > bytebudget.COUNTED_BYTES:
                if len(view) < _PREFIX_BYTES + _BEGIN_BYTES:
                    break
                view = view[_PREFIX_BYTES:]
                self._begin_large(view, size)
                if self._waiting:
                    break
                continue
            end = _PREFIX_BYTES + size
            if size < 0 or len(view) < end:
                break
            yield frames.decode(view[_PREFIX_BYTES:end])
            view = view[end:]
        self._rest += view

    def _message_bytes(self, view: memoryview) -> int:
        """Returns the size of the next message; -1 while it isn't known."""
        if len(view) < _PREFIX_BYTES:
            return -1
        (size,) = frames.LENGTH.unpack_from(view)
        if size > _MAX_MESSAGE_BYTES:
            raise errors.InvalidMessageError(
                f"message of {size} bytes exceeds the limit of "
                f"{_MAX_MESSAGE_BYTES} bytes: check that the peer is a "
                "daemon of this version"
            )
        return size

    def _begin_large(self, view: memoryview, size: int) -> None:
        self._buffer_bytes = 0
        self._begin = begin = _decode_begin(view, size)
        if begin.tag not in (frames.RUN_TAG, frames.DONE_TAG):
            if size > _MAX_CONTROL_BYTES:
                raise errors.InvalidMessageError(
                    f"message without a body of {size} bytes exceeds the "
                    f"limit of {_MAX_CONTROL_BYTES} bytes: check that the "
                    "peer is a daemon of this version"
                )
            self._buffer = bytearray(size)
            return
        match self._on_begin(begin):
            case Room.NONE:
                self.provide(None)
            case Room.LATER:
                self._waiting = True
            case buffer:
                self._buffer = buffer

    def _take_large(
        self, view: memoryview
    ) -> collections.abc.Generator[typing.Any, None, memoryview]:
        """Takes bytes of a large message; returns those behind it."""
        begin = self._begin
        if self._buffer is None:
            taken = min(len(view), self._to_drop_bytes)
            self._to_drop_bytes -= taken
            if not self._to_drop_bytes:
                self._begin = None
                yield Dropped(begin.tag, begin.number)
            return view[taken:]
        at = self._buffer_bytes
        part = view[: begin.size - at]
        self._buffer_bytes += len(part)
        self._buffer[at : self._buffer_bytes] = part
        if self._buffer_bytes == begin.size:
            buffer, self._buffer, self._begin = self._buffer, None, None
            yield frames.decode(memoryview(buffer))
        return view[len(part) :]


def _decode_begin(view: memoryview, size: int) -> Begin:
    """Decodes the tag of a message, and its number if it is about a call."""
    begin = bytes(view[:_BEGIN_BYTES])
    tag = begin[1]
    if begin[0] & 0xF0 != _SHORT_ARRAY:
        raise errors.InvalidMessageError(
            "message doesn't begin with a short array: run the same version "
            "of the daemon on every VM"
        )
    if tag not in (frames.RUN_TAG, frames.DONE_TAG):
        return Begin(tag, 0, size)
    width = _INTEGER_BYTES.get(begin[2], 1)
    pair = bytes([_SHORT_ARRAY | 2]) + begin[1 : 2 + width]
    try:
        tag, number = _BEGIN_DECODER.decode(pair)
    except frames.DECODING_ERRORS as error:
        raise errors.InvalidMessageError(
            f"message's number can't be decoded ({error}): run the same "
            "version of the daemon on every VM"
        ) from error
    return Begin(tag, number, size)
