"""Messages that keep calls and answers whole when a connection is replaced."""

import typing

import msgspec

from savorybend.internal.wire import calls

_Count = typing.Annotated[int, msgspec.Meta(ge=0)]


class Numbered(
    msgspec.Struct, frozen=True, array_like=True, tag="link.numbered"
):
    """A message that is kept until the peer has received it.

    Attributes:
        number: Counts the sender's numbered messages to this peer, from 1.
        received: Up to which number the sender has the peer's messages.
        message: The message.
    """

    number: _Count
    received: _Count
    message: calls.Message


class Receipt(msgspec.Struct, frozen=True, array_like=True, tag="link.receipt"):
    """Says what has arrived.

    Attributes:
        received: Up to which number the sender has the peer's messages.
        resend: Whether later ones are missing and are to be sent again.
    """

    received: _Count
    resend: bool


class Sync(msgspec.Struct, frozen=True, array_like=True, tag="link.sync"):
    """Asks for a receipt, over the connection that the sender now uses.

    Attributes:
        first: The oldest number that the sender can still send again.
        last: The newest number that it has sent.
    """

    first: _Count
    last: _Count


Message = Numbered | Receipt | Sync
