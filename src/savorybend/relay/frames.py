"""Messages between daemons, and how they are encoded."""

import struct

import msgspec

from savorybend.internal import errors
from savorybend.relay import bytebudget
from savorybend.relay import outcomes
from savorybend.relay import store

# The length prefix of a message.
LENGTH = struct.Struct(">I")
_EMPTY_BYTES = b"\xc4\x00"
_LONG_BYTES = struct.Struct(">BI")
_LONG_BYTES_TYPE = 0xC6
_RAN_TAG = 1
# A decoder raises RecursionError at what is nested too deep for the stack that
# is left.
DECODING_ERRORS = (msgspec.MsgspecError, RecursionError)


class Statement(msgspec.Struct, frozen=True):
    """The state that a daemon announces of itself and its backend server.

    Attributes:
        daemon: The daemon's name.
        host: Host at which other daemons connect to it.
        port: Port at which other daemons connect to it.
        data_centre: The data centre that it runs in.
        service: The service of its backend server.
        boot: Increases with each start of the daemon.
        serial: Increases with each statement since that start.
        state: A state of the state chart `announcement`.
        instance: The backend server's ID; empty if there is none.
        slots: Requests that the backend server executes concurrently.
        born_ms: When the backend server started, Unix time in milliseconds; 0
            if it isn't stated.
        departed: Whether the backend server has said that it leaves or is gone.
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
    born_ms: int = 0
    departed: bool = False

    @property
    def order(self) -> tuple[int, int]:
        """Sort key; of two statements of a daemon, the newer has the larger."""
        return (self.boot, self.serial)


class Position(msgspec.Struct, array_like=True, frozen=True, order=True):
    """A position in the history of the store.

    Attributes:
        era: Increases when the store comes back from an older copy, which
            gives out revisions again; 0 if the store tells none.
        revision: The store's revision.
    """

    era: int
    revision: int


class Feed(msgspec.Struct, array_like=True, frozen=True):
    """What a daemon has read in the store.

    Attributes:
        state: A `watchers.State`: whether it watches the store.
        position: Position of its copy of the records; None without one.
        read_age_s: Age of its own last read of the configuration, in seconds;
            0 from a daemon of a version that doesn't tell it.
    """

    state: int
    position: Position | None
    read_age_s: float = 0.0


class Hello(msgspec.Struct, array_like=True, tag=10, frozen=True):
    """The first message that each side of a connection sends.

    Attributes:
        statement: The sender's statement.
        version: Version of the sender's configuration; 0 for none.
        feed: The sender's copy of the records; None from a daemon of a version
            that keeps none, which can't read `Follow` either.
        terms: What the sender knows of the receiver's backend server; None if
            it knows of nothing that binds it.
    """

    statement: Statement
    version: int
    feed: Feed | None = None
    terms: outcomes.Terms | None = None


class Run(msgspec.Struct, array_like=True, tag=11):
    """A call to be executed.

    Attributes:
        number: The sender's number for the call, unique within one start of
            the sender.
        request_id: The caller's request ID.
        method: The HTTP method.
        target: Path and query.
        host: Host without a port.
        head: Header lines.
        body: The complete body; any type of bytes when it is sent.
        service: The service that executes the call.
        route: The route's name.
        idempotent: Whether the call may be executed more than once.
        priority: Priority; 0 is the highest.
        client_account: The client account that the call belongs to.
        left_s: Time until the call's deadline, in seconds.
        patience_s: Target latency, in seconds; an answer within it has the
            highest value.
    """

    number: int
    request_id: str
    method: bytes
    target: bytes
    host: str
    head: bytes
    body: memoryview
    service: str
    route: str
    idempotent: bool
    priority: int
    client_account: str
    left_s: float
    patience_s: float


class Done(msgspec.Struct, array_like=True, tag=12):
    """The outcome of a call.

    Attributes:
        number: The sender's number for the call.
        outcome: The outcome.
        load: The load of the backend server.
    """

    number: int
    outcome: outcomes.Outcome
    load: outcomes.Load


class Cancel(msgspec.Struct, array_like=True, tag=13):
    """Cancels a call whose outcome is no longer awaited."""

    number: int


class Ping(msgspec.Struct, array_like=True, tag=14):
    """Requests a `Pong`, to check that the connection works.

    Attributes:
        version: Version of the sender's configuration; 0 for none.
        received: Number of answers received on this connection so far.
    """

    version: int
    received: int


class Pong(msgspec.Struct, array_like=True, tag=15):
    """The answer to a `Ping`.

    Attributes:
        statement: The daemon's current statement; None if it was sent on this
            connection before.
        version: Version of its configuration; 0 for none.
        load: The load of its backend server.
        feed: Its copy of the records; see `Hello`.
    """

    statement: Statement | None
    version: int
    load: outcomes.Load
    feed: Feed | None = None


class Resume(msgspec.Struct, array_like=True, tag=16):
    """Requests, on a new connection, the outcomes of calls sent on the last.

    Attributes:
        numbers: The sender's numbers for the calls.
    """

    numbers: list[int]


class FetchConfiguration(msgspec.Struct, array_like=True, tag=17):
    """Requests the configuration in force.

    Attributes:
        packed: Whether the sender reads a compressed document.
    """

    packed: bool = False


class ConfigurationDocument(msgspec.Struct, array_like=True, tag=18):
    """The configuration in force, as stored by the platform.

    Attributes:
        version: Its version.
        document: The document, as the platform stores it.
        packed: Whether the document is compressed, in zlib's format.
    """

    version: int
    document: bytes
    packed: bool = False


class LoanRequest(msgspec.Struct, array_like=True, tag=19):
    """A request to the lender for tokens, by client account.

    Attributes:
        wanted: Tokens for calls that are waiting.
        expected: Tokens for calls that are expected.
        returned: Tokens given back: those of calls that were refused without a
            run, and those that aren't needed.
        held: Tokens at hand; given in reports, which want none for waiting
            calls.
    """

    wanted: dict[str, int]
    expected: dict[str, int]
    returned: dict[str, int] = {}
    held: dict[str, int] = {}


class Loan(msgspec.Struct, array_like=True, tag=20):
    """The lender's answer to a `LoanRequest`, by client account.

    Attributes:
        tokens: Tokens lent; each permits one call.
        retry_after_s: For accounts that were lent less than requested: delay
            before another request is worthwhile, in seconds.
    """

    tokens: dict[str, int]
    retry_after_s: dict[str, float]


class Suspicion(msgspec.Struct, array_like=True, tag=21, frozen=True):
    """Reports all that the sender knows of crashes under one content.

    A daemon of a version before `deaths` sends and reads only the first two
    fields.

    Attributes:
        digest: Digest of the content.
        crashes: Number of crashes that count; 0 clears the content.
        deaths: Scopes by crash ID; see `suspicion`.
        trials: IDs of the trials.
        voided: IDs of the crashes that an answer has voided.
        by_scope: Whether only crashes of its own scope count for a call.
        last_ms: Time of the last crash or trial, Unix time in milliseconds.
    """

    digest: bytes
    crashes: int
    deaths: dict[str, str] = {}
    trials: list[str] = []
    voided: list[str] = []
    by_scope: bool = False
    last_ms: int = 0


class Follow(msgspec.Struct, array_like=True, tag=22):
    """Requests the records since a position, and all later ones.

    Attributes:
        position: Position of the sender's copy; None without one.
    """

    position: Position | None


class Records(msgspec.Struct, array_like=True, tag=23):
    """Records of daemons, as the store has them at a position.

    Attributes:
        after: Position that the changes follow; None if they are complete.
        until: Position at which they are up to date.
        objects: The changed records, or all of them.
        deleted: Names of the deleted records.
    """

    after: Position | None
    until: Position
    objects: list[store.StoredObject]
    deleted: list[str]


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
    | Follow
    | Records
)

RUN_TAG = 11
DONE_TAG = 12

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Returns a message with its length prefix."""
    payload = _ENCODER.encode(message)
    return LENGTH.pack(len(payload)) + payload


def encode_parts(message: Message) -> list[bytes | memoryview]:
    """Returns a message in parts; a large body is one of them, not copied."""
    match message:
        case Run(body=body) if len(body) > bytebudget.COUNTED_BYTES:
            fields = (
                RUN_TAG,
                message.number,
                message.request_id,
                message.method,
                message.target,
                message.host,
                message.head,
            )
            before = len(_ENCODER.encode(fields))
            bodiless = msgspec.structs.replace(message, body=b"")
            return _split(_ENCODER.encode(bodiless), before, body)
        case Done(outcome=outcomes.Ran(body=body) as ran) if (
            len(body) > bytebudget.COUNTED_BYTES
        ):
            before = len(_ENCODER.encode((DONE_TAG, message.number)))
            before += len(_ENCODER.encode((_RAN_TAG, ran.status, ran.head)))
            bodiless = msgspec.structs.replace(
                message, outcome=msgspec.structs.replace(ran, body=b"")
            )
            return _split(_ENCODER.encode(bodiless), before, body)
    return [encode(message)]


def _split(
    payload: bytes, before: int, body: bytes | bytearray | memoryview
) -> list[bytes | memoryview]:
    """Puts a body into a message that was encoded with an empty one."""
    after = before + len(_EMPTY_BYTES)
    if payload[before:after] != _EMPTY_BYTES:
        raise errors.InvalidMessageError(
            f"no empty body at byte {before}: a field of the message is "
            "encoded in another way than alone"
        )
    begin = payload[:before] + _LONG_BYTES.pack(_LONG_BYTES_TYPE, len(body))
    rest = payload[after:]
    size = LENGTH.pack(len(begin) + len(body) + len(rest))
    return [size + begin, memoryview(body), rest]


def decode(payload: memoryview) -> Message:
    """Returns a message without its length prefix.

    Raises:
        errors.InvalidMessageError: It isn't a valid message.
    """
    try:
        return _DECODER.decode(payload)
    except DECODING_ERRORS as error:
        raise errors.InvalidMessageError(
            f"message can't be decoded ({error}): run the same version of the "
            "daemon on every VM"
        ) from error
