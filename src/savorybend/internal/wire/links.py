"""Messages for reliable, ordered delivery across replaced connections."""

import typing

import msgspec

from savorybend.internal.wire import calls

_Count = typing.Annotated[int, msgspec.Meta(ge=0)]


class Numbered(
    msgspec.Struct, frozen=True, array_like=True, tag="link.numbered"
):
    """A numbered message, retained until the peer acknowledges it.

    Attributes:
        number: Sequence number of the message to this peer, from 1.
        received: Cumulative acknowledgement: the sender has received the
            peer's messages up to this number.
        message: The call message.
    """

    number: _Count
    received: _Count
    message: calls.Message


class Receipt(msgspec.Struct, frozen=True, array_like=True, tag="link.receipt"):
    """Acknowledges received messages.

    Attributes:
        received: Cumulative acknowledgement, as in `Numbered`.
        resend: Whether later messages are missing and must be sent again.
    """

    received: _Count
    resend: bool


class Sync(msgspec.Struct, frozen=True, array_like=True, tag="link.sync"):
    """Requests a `Receipt` over the connection that the sender now uses.

    Attributes:
        first: The lowest number that the sender can still resend.
        last: The highest number that it has sent.
    """

    first: _Count
    last: _Count


Message = Numbered | Receipt | Sync
