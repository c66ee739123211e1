"""The body of the request that a connection reads, and the room for it."""

import collections.abc
import enum

from savorybend.relay import bytebudget

_USE = bytebudget.Use.REQUESTS
# Room that a body of unknown length takes first. It grows from there, and is
# refused if it can't, since two that wait could wait for each other.
_FIRST_ROOM_BYTES = bytebudget.SMALL_BYTES + 1


class Admission(enum.Enum):
    """Whether a body of known length is read."""

    READ = "there is room for it"
    WAIT = "there will be room for it"
    REFUSE = "there is no room for it"


class RequestBody:
    """Collects the body of one request."""

    def __init__(
        self,
        budget: bytebudget.Budget,
        on_room: collections.abc.Callable[[], None],
    ):
        self._budget = budget
        self._on_room = on_room
        self._buffer = bytearray()
        self._size = 0
        self._waiter: bytebudget.Waiter | None = None

    @property
    def size(self) -> int:
        """Bytes received so far."""
        return self._size

    @property
    def waiting(self) -> bool:
        """Whether it waits for room."""
        return self._waiter is not None

    def begin(self, size: int, may_wait: bool) -> Admission:
        """Takes room for a body of known length.

        Args:
            size: Its length, in bytes.
            may_wait: Whether a large one may wait; `on_room` is called then.
        """
        if size <= bytebudget.COUNTED_BYTES:
            return Admission.READ
        buffer = self._budget.hold(_USE, size)
        if buffer is not None:
            self._buffer = buffer
            return Admission.READ
        large = size > bytebudget.SMALL_BYTES
        if not (large and may_wait and self._budget.fits(_USE, size)):
            return Admission.REFUSE
        self._waiter = self._budget.hold_later(_USE, size, self._provide)
        return Admission.WAIT

    def append(self, part: bytes) -> bool:
        """Adds a part; returns whether there was room for it."""
        begin = self._size
        self._size += len(part)
        if not self._has_room():
            return False
        # Appends to a buffer that isn't longer.
        self._buffer[begin : self._size] = part
        return True

    def take(self) -> bytes | bytearray:
        """Returns the complete body, and begins anew."""
        buffer = self._buffer
        self.drop()
        match buffer:
            case bytebudget.HeldBuffer():
                buffer.shrink(len(buffer))
                return buffer
        return bytes(buffer)

    def drop(self) -> None:
        """Drops what was received, gives up waiting, and begins anew."""
        self._buffer = bytearray()
        self._size = 0
        if self._waiter is not None:
            self._waiter.cancel()
            self._waiter = None

    def _provide(self, buffer: bytebudget.HeldBuffer) -> None:
        self._waiter = None
        buffer[: self._size] = self._buffer
        self._buffer = buffer
        self._on_room()

    def _has_room(self) -> bool:
        """Returns whether there is room for what has come."""
        if (
            self.waiting
            or self._size <= len(self._buffer)
            or self._size <= bytebudget.COUNTED_BYTES
        ):
            return True
        match self._buffer:
            case bytebudget.HeldBuffer() as held:
                return held.grow(self._size)
        held = self._budget.hold(_USE, 0, _FIRST_ROOM_BYTES)
        if held is not None:
            held += self._buffer
            self._buffer = held
        return held is not None


def create_request_body(
    budget: bytebudget.Budget, on_room: collections.abc.Callable[[], None]
) -> RequestBody:
    """Returns an empty body.

    Args:
        budget: Room for bodies.
        on_room: Called once a body that waits may be read on.
    """
    return RequestBody(budget, on_room)
