"""Messages between daemons, and how they are told apart in a byte stream."""

import collections.abc
import struct
import typing

import msgspec

from savorybend.internal import errors
from savorybend.relay import outcomes

_LENGTH = struct.Struct(">I")
# A body of the largest size that callers may send, and its head.
_MAX_MESSAGE_BYTES = (64 << 20) + (1 << 17)


class Statement(msgspec.Struct, frozen=True):
    """What a daemon says of itself and of the backend server beside it.

    Attributes:
        daemon: The daemon's name.
        host: Where other daemons reach it.
        port: The port there.
        data_centre: Where it is.
        service: The service of its backend server.
        boot: Rises with each start of the daemon.
        serial: Rises with each statement since that start.
        state: A state of the chart `announcement`.
        instance: The backend server's ID; empty if there is none.
        slots: Requests that the backend server works on at once.
    """

    daemon: str
    host: str
    port: int
    data_centre: str
    service: str
    boot: int
    serial: int
    state: str
    instance: str
    slots: int

    @property
    def order(self) -> tuple[int, int]:
        """Tells the newer of two statements of one daemon."""
        return (self.boot, self.serial)


class Hello(msgspec.Struct, array_like=True, tag=10, frozen=True):
    """The first message of each side of a connection.

    Attributes:
        statement: Who speaks.
        version: Its configuration's version; 0 for none.
    """

    statement: Statement
    version: int


class Run(msgspec.Struct, array_like=True, tag=11):
    """A call to be run.

    Attributes:
        number: The sender's number for it, unique in one start of the sender.
        request_id: The caller's ID for it.
        method: The HTTP method.
        target: Path and query.
        host: Host without a port.
        head: Header lines.
        body: The whole body.
        service: The service that is to run it.
        route: The route's name.
        idempotent: Whether it may run more than once.
        priority: 0 goes first.
        client_account: Whose it is.
        left_s: Time left, in seconds.
        patience_s: Within what an answer is worth most, in seconds.
    """

    number: int
    request_id: str
    method: bytes
    target: bytes
    host: str
    head: bytes
    body: bytes
    service: str
    route: str
    idempotent: bool
    priority: int
    client_account: str
    left_s: float
    patience_s: float


class Done(msgspec.Struct, array_like=True, tag=12):
    """What became of a call.

    Attributes:
        number: The sender's number for it.
        outcome: What became of it.
        load: How busy the backend server is.
    """

    number: int
    outcome: outcomes.Outcome
    load: outcomes.Load


class Cancel(msgspec.Struct, array_like=True, tag=13):
    """Nobody waits for a call any more."""

    number: int


class Ping(msgspec.Struct, array_like=True, tag=14):
    """Asks for a `Pong`, and shows that the connection works.

    Attributes:
        version: The configuration's version; 0 for none.
        received: How many answers came on this connection so far.
    """

    version: int
    received: int


class Pong(msgspec.Struct, array_like=True, tag=15):
    """The answer to a `Ping`.

    Attributes:
        statement: What the daemon says of itself now.
        version: Its configuration's version; 0 for none.
        load: How busy its backend server is.
    """

    statement: Statement
    version: int
    load: outcomes.Load


class Resume(msgspec.Struct, array_like=True, tag=16):
    """After a new connection: asks what became of calls sent on the last.

    Attributes:
        numbers: The sender's numbers for them.
    """

    numbers: list[int]


class FetchConfiguration(msgspec.Struct, array_like=True, tag=17):
    """Asks for the configuration in force."""


class ConfigurationDocument(msgspec.Struct, array_like=True, tag=18):
    """The configuration in force, as the platform holds it."""

    version: int
    document: bytes


class LoanRequest(msgspec.Struct, array_like=True, tag=19):
    """What a daemon asks the lender for, by client account.

    Attributes:
        wanted: Tokens that calls wait for.
        ahead: Tokens for calls that are expected.
    """

    wanted: dict[str, int]
    expected: dict[str, int]


class Loan(msgspec.Struct, array_like=True, tag=20):
    """The lender's answer to a `Need`, by client account.

    Attributes:
        tokens: Tokens, each good for one call.
        dry_s: Where less was lent than is wanted: in how many seconds it is
            worth asking again.
    """

    tokens: dict[str, int]
    retry_after_s: dict[str, float]


class Suspicion(msgspec.Struct, array_like=True, tag=21):
    """A backend server died while it ran a request, or lived through it.

    Attributes:
        digest: Digest of the request's content.
        crashes: Deaths known so far; 0 clears the suspect.
    """

    digest: bytes
    crashes: int


Message = (
    Hello
    | Run
    | Done
    | Cancel
    | Ping
    | Pong
    | Resume
    | FetchConfiguration
    | ConfigurationDocument
    | LoanRequest
    | Loan
    | Suspicion
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Returns a message with its length before it."""
    payload = _ENCODER.encode(message)
    return _LENGTH.pack(len(payload)) + payload


class FrameDecoder:
    """Cuts a byte stream into messages."""

    def __init__(self):
        self._rest = b""
        self._needed = 0
        self._parts: list[bytes] = []
        self._size = 0

    def feed(self, data: bytes) -> collections.abc.Iterator[typing.Any]:
        """Yields the messages that are whole.

        Raises:
            errors.InvalidMessageError: The peer speaks something else.
        """
        self._parts.append(data)
        self._size += len(data)
        if self._size < self._needed:
            return
        data = (
            self._parts[0] if len(self._parts) == 1 else b"".join(self._parts)
        )
        view = memoryview(data)
        at = 0
        end = len(data)
        self._needed = 0
        while end - at >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(data, at)
            if length > _MAX_MESSAGE_BYTES:
                raise errors.InvalidMessageError(
                    f"message of {length} bytes: a daemon of this version "
                    f"sends at most {_MAX_MESSAGE_BYTES}; check who connects"
                )
            if end - at - _LENGTH.size < length:
                self._needed = length + _LENGTH.size
                break
            at += _LENGTH.size
            yield _decode(view[at : at + length])
            at += length
        self._parts = [data[at:]] if at < end else []
        self._size = end - at


def _decode(payload: memoryview) -> Message:
    try:
        return _DECODER.decode(payload)
    except msgspec.MsgspecError as error:
        raise errors.InvalidMessageError(
            f"message can't be decoded ({error}): run one version of the "
            "daemon everywhere"
        ) from error
