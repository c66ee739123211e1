"""Encodes and decodes messages between daemons."""

import msgspec

from savorybend.internal import errors
from savorybend.internal.wire import calls
from savorybend.internal.wire import configuration
from savorybend.internal.wire import limits
from savorybend.internal.wire import links
from savorybend.internal.wire import membership
from savorybend.internal.wire import requests

Message = (
    calls.Message
    | configuration.Message
    | limits.Message
    | links.Message
    | membership.Message
    | requests.Message
)

# Exceeds a body chunk with its head, the largest message that daemons send.
MAX_MESSAGE_BYTES = 1_048_576

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Returns a message encoded as MessagePack."""
    return _ENCODER.encode(message)


def decode(data: bytes) -> Message:
    """Returns the message decoded from MessagePack.

    Raises:
        errors.InvalidMessageError: The data is too long or not a valid message.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise errors.InvalidMessageError(
            f"a peer's message has {len(data)} bytes, more than "
            f"{MAX_MESSAGE_BYTES}: run one version of savorybend on all VMs"
        )
    try:
        return _DECODER.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise errors.InvalidMessageError(
            f"a peer's message can't be decoded ({error}): run one version of "
            "savorybend on all VMs"
        ) from error
