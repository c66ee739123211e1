"""Messages that carry a call to the daemon on a backend server's VM."""

import typing

import msgspec

# No daemon grants more credit in one message; larger values are invalid.
MAX_CREDIT_BYTES = 1_048_576

_Size = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_CREDIT_BYTES)]


class CallHead(msgspec.Struct, frozen=True, array_like=True):
    """A call without its body; see `calls.Call`.

    Attributes:
        timeout_s: Remaining time when the message was sent, in seconds.
            A duration is sent because the clocks of two VMs may differ.
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
        stream: Stream number, chosen by the sender and unique among its calls
            in flight to this peer.
        head: The call without its body.
        data: First bytes of the body.
        last: Whether `data` ends the body.
    """

    stream: int
    head: CallHead
    data: bytes
    last: bool


class CallChunk(msgspec.Struct, frozen=True, array_like=True, tag="body"):
    """A further chunk of a call's body; see `CallStart` for the fields."""

    stream: int
    data: bytes
    last: bool


class CallCredit(msgspec.Struct, frozen=True, array_like=True, tag="credit"):
    """Grants the sender `size` more bytes of a call's body."""

    stream: int
    size: _Size


class CallCancel(msgspec.Struct, frozen=True, array_like=True, tag="cancel"):
    """Cancels a call because its caller disconnected."""

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
    """A further chunk of an answer's body; see `CallStart` for other fields.

    Attributes:
        length: Length of the whole body in bytes; set in the last chunk.
        digest: BLAKE2b digest of the whole body; set in the last chunk.
        failed: Whether the body ended before it was complete.
    """

    stream: int
    data: bytes
    last: bool
    length: int = 0
    digest: bytes = b""
    failed: bool = False


class AnswerCredit(msgspec.Struct, frozen=True, array_like=True, tag="room"):
    """Grants the sender `size` more bytes of an answer's body."""

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
