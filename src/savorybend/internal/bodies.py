"""Bodies of calls and answers: in memory, or streamed with flow control."""

import asyncio
import collections
import collections.abc
import typing

from savorybend.internal import errors

# A body up to this size is sent in one message and read at once.
INLINE_BYTES = 65_536
# Flow control window of one body between two daemons, so that a photo batch
# neither exhausts the memory nor delays concurrent small calls.
WINDOW_BYTES = 262_144
CHUNK_BYTES = 65_536


class Body(typing.Protocol):
    """A body that can be read in parts."""

    @property
    def whole(self) -> bytes | None:
        """The entire body if it is in memory, else None."""

    @property
    def length(self) -> int | None:
        """Size of the entire body in bytes, or None if unknown."""

    @property
    def replayable(self) -> bool:
        """Whether a retry could still read it from its start."""

    async def read(self) -> bytes:
        """Returns the next part; empty at the end.

        Raises:
            errors.AnswerLostError: The rest of the body is lost.
        """

    def abandon(self) -> None:
        """Says that the rest won't be read."""


class WholeBody:
    """A body that is entirely in memory."""

    __slots__ = ("_data", "_taken")

    def __init__(self, data: bytes):
        self._data = data
        self._taken = False

    @property
    def whole(self) -> bytes:
        """The entire body."""
        return self._data

    @property
    def length(self) -> int:
        """Size of the entire body in bytes."""
        return len(self._data)

    @property
    def replayable(self) -> bool:
        """Always True, since readers of a body in memory use `whole`."""
        return True

    async def read(self) -> bytes:
        """Returns the body on the first call, then empty bytes."""
        if self._taken:
            return b""
        self._taken = True
        return self._data

    def abandon(self) -> None:
        """Does nothing, since no sender is to be stopped."""


class StreamedBody:
    """A body that is read from an HTTP connection.

    Args:
        read: Returns the next part, empty at the end.
        length: Size of the entire body in bytes, or None if unknown.
        on_end: Called once, with whether the body was read to its end.
    """

    def __init__(
        self,
        read: collections.abc.Callable[[], collections.abc.Awaitable[bytes]],
        length: int | None,
        on_end: collections.abc.Callable[[bool], None] | None = None,
    ):
        self._read = read
        self._length = length
        self._on_end = on_end
        self._touched = False

    @property
    def whole(self) -> None:
        """Not at hand."""
        return None

    @property
    def length(self) -> int | None:
        """Size of the entire body in bytes, or None if unknown."""
        return self._length

    @property
    def replayable(self) -> bool:
        """Whether nothing was read yet."""
        return not self._touched

    async def read(self) -> bytes:
        """Returns the next part; empty at the end."""
        self._touched = True
        try:
            data = await self._read()
        except BaseException:
            self.abandon()
            raise
        if not data:
            self._end(whole=True)
        return data

    def abandon(self) -> None:
        """Says that the rest won't be read."""
        self._end(whole=False)

    def _end(self, whole: bool) -> None:
        if self._on_end is not None:
            on_end, self._on_end = self._on_end, None
            on_end(whole)


class PipedBody:
    """A body that is received in messages from another daemon.

    Args:
        grant: Called with the number of bytes that the sender may send beyond
            those granted before.
        on_abandon: Called when the rest won't be read.
    """

    def __init__(
        self,
        grant: collections.abc.Callable[[int], None],
        on_abandon: collections.abc.Callable[[], None] | None = None,
    ):
        self._grant = grant
        self._on_abandon = on_abandon
        self._room = 0
        self._parts: collections.deque[bytes] = collections.deque()
        self._ended = False
        self._error: Exception | None = None
        self._wake: asyncio.Future | None = None
        self._touched = False

    @property
    def whole(self) -> None:
        """Not at hand."""
        return None

    @property
    def replayable(self) -> bool:
        """Whether nothing was read yet."""
        return not self._touched

    @property
    def length(self) -> None:
        """Not known."""
        return None

    def feed(self, data: bytes, last: bool) -> None:
        """Adds the next part.

        Raises:
            errors.InvalidMessageError: The sender exceeded its window.
        """
        self._room -= len(data)
        # A sender with any credit left may send a whole chunk.
        if self._room < -CHUNK_BYTES:
            error = errors.InvalidMessageError(
                f"a body exceeds its window by {-self._room} bytes: run one "
                "version of savorybend on all VMs"
            )
            self._parts.clear()
            self.fail(errors.AnswerLostError(str(error)))
            raise error
        if data:
            self._parts.append(data)
        self._ended = self._ended or last
        self._notify()

    def fail(self, error: Exception) -> None:
        """Ends the body with an error, raised after the received parts."""
        self._error = self._error or error
        self._notify()

    def abandon(self) -> None:
        """Says that the rest won't be read."""
        self._parts.clear()
        if self._ended or self._error is not None:
            return
        self.fail(
            errors.AnswerLostError(
                "the body was abandoned by its reader: read it to its end"
            )
        )
        if self._on_abandon is not None:
            self._on_abandon()

    async def read(self) -> bytes:
        """Returns the next part; empty at the end."""
        if not self._touched:
            # The sender waits for this first credit, so that a call that is
            # refused has consumed nothing of its body.
            self._touched = True
            self._give_room(WINDOW_BYTES)
        while not self._parts:
            if self._error is not None:
                raise self._error
            if self._ended:
                return b""
            self._wake = asyncio.get_running_loop().create_future()
            await self._wake
        data = self._parts.popleft()
        if not self._ended:
            self._give_room(len(data))
        return data

    def _give_room(self, size: int) -> None:
        self._room += size
        self._grant(size)

    def _notify(self) -> None:
        if self._wake is not None and not self._wake.done():
            self._wake.set_result(None)


class SendWindow:
    """Flow control at the sender: the bytes that it may still send."""

    def __init__(self):
        self._room = 0
        self._wake: asyncio.Future | None = None
        self._closed = False

    def grant(self, size: int) -> None:
        """Adds `size` bytes that the receiver has granted."""
        self._room += size
        self._notify()

    def close(self) -> None:
        """Stops blocking the sender, since there is no receiver any more."""
        self._closed = True
        self._notify()

    async def take(self, size: int) -> None:
        """Waits until any credit is left, then consumes `size` bytes of it."""
        while self._room <= 0 and not self._closed:
            self._wake = asyncio.get_running_loop().create_future()
            await self._wake
        self._room -= size

    def _notify(self) -> None:
        if self._wake is not None and not self._wake.done():
            self._wake.set_result(None)


EMPTY = WholeBody(b"")


async def read_all(body: Body) -> bytes:
    """Returns the entire body."""
    if body.whole is not None:
        return body.whole
    parts = []
    while data := await body.read():
        parts.append(data)
    return b"".join(parts)


def split(data: bytes) -> collections.abc.Iterator[bytes]:
    """Yields `data` in chunks of at most `CHUNK_BYTES`."""
    for start in range(0, len(data), CHUNK_BYTES):
        yield data[start : start + CHUNK_BYTES]
