"""Messages that carry a call to the daemon beside a backend server."""

import typing

import msgspec

# A window is never granted in larger steps; a peer that claims more is not
# one of ours.
MAX_CREDIT_BYTES = 1_048_576

_Size = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_CREDIT_BYTES)]


class CallHead(msgspec.Struct, frozen=True, array_like=True):
    """A call without its body; see `calls.Call`.

    Attributes:
        timeout_s: Seconds left when the message was sent; clocks of two VMs
            are not compared.
    """

    request_id: str
    client_account: str
    route: str
    service: str
    priority: int
    idempotent: bool
    method: str
    target: str
    headers: list[tuple[str, str]]
    timeout_s: float
    retries: int
    depth: int
    key_id: str = ""
    repeatable: bool = False


class CallStart(msgspec.Struct, frozen=True, array_like=True, tag="call"):
    """Begins a call.

    Attributes:
        stream: Number of the call, chosen by the sender and unique among the
            calls that it has in flight to this peer.
        head: The call.
        data: First part of the body.
        last: Whether that was the whole body.
    """

    stream: int
    head: CallHead
    data: bytes
    last: bool


class CallChunk(msgspec.Struct, frozen=True, array_like=True, tag="body"):
    """More of a call's body."""

    stream: int
    data: bytes
    last: bool


class CallCredit(msgspec.Struct, frozen=True, array_like=True, tag="credit"):
    """The receiver has room for so many more bytes of a call's body."""

    stream: int
    size: _Size


class CallCancel(msgspec.Struct, frozen=True, array_like=True, tag="cancel"):
    """The caller left; work on the call is to stop."""

    stream: int


class AnswerHead(msgspec.Struct, frozen=True, array_like=True):
    """An answer without its body; see `calls.Answer`."""

    status: int
    headers: list[tuple[str, str]]
    outcome: str
    reason: str
    retry_after_s: float
    decided_by: str
    retries_spent: int
    effects: bool
    threshold: float


class AnswerStart(msgspec.Struct, frozen=True, array_like=True, tag="answer"):
    """Begins an answer; see `CallStart` for the fields."""

    stream: int
    head: AnswerHead
    data: bytes
    last: bool


class AnswerChunk(msgspec.Struct, frozen=True, array_like=True, tag="more"):
    """More of an answer's body.

    Attributes:
        length: Bytes of the whole body, with the last chunk.
        digest: BLAKE2b of the whole body, with the last chunk.
        failed: Whether the body broke off.
    """

    stream: int
    data: bytes
    last: bool
    length: int = 0
    digest: bytes = b""
    failed: bool = False


class AnswerCredit(msgspec.Struct, frozen=True, array_like=True, tag="room"):
    """The caller's daemon has room for so many more bytes of the answer."""

    stream: int
    size: _Size


Message = (
    CallStart
    | CallChunk
    | CallCredit
    | CallCancel
    | AnswerStart
    | AnswerChunk
    | AnswerCredit
)
