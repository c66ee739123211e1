"""Room for the bodies that this daemon holds, from its memory limit.

A body is held in one buffer from its first byte until nobody needs it any more.
The buffer's room is given back when the last reference to it is gone, so that
what counts as held is held.

Each use has room of its own, so that no two bodies wait for each other: an
answer to a caller waits for callers only, a backend server's response for peers
that wait for callers, and a request for both.
"""

import asyncio
import collections
import collections.abc
import enum

# Smaller bodies are bounded by the number of connections.
COUNTED_BYTES = 16_384
# Bodies up to this size never wait for large ones.
SMALL_BYTES = 262_144


class Use(enum.Enum):
    """What room is used for."""

    SMALL = "small"
    REQUESTS = "requests"
    RESPONSES = "responses"
    ANSWERS = "answers"
    STORE = "store"


# Fractions of the memory limit. The daemon itself needs the rest, of which the
# buffers of its sockets are a part.
_FRACTIONS = {
    Use.SMALL: 0.08,
    Use.REQUESTS: 0.34,
    Use.RESPONSES: 0.125,
    Use.ANSWERS: 0.125,
    Use.STORE: 0.04,
}


class HeldBuffer(bytearray):
    """A buffer whose room is given back when nothing refers to it."""

    __slots__ = ("_budget", "_use", "_room_bytes")

    def __init__(self, budget: "Budget", use: Use, size: int, room_bytes: int):
        super().__init__(size)
        self._budget = budget
        self._use = use
        self._room_bytes = room_bytes

    def __del__(self):
        self._budget._release(self._use, self._room_bytes)

    def shrink(self, size: int) -> None:
        """Gives back the room beyond a size."""
        spare = self._room_bytes - size
        if spare > 0:
            self._room_bytes = size
            self._budget._release(self._use, spare)

    def grow(self, size: int) -> bool:
        """Takes room up to a size; returns whether there is as much."""
        missing = size - self._room_bytes
        if missing <= 0:
            return True
        if not self._budget._take(self._use, missing):
            return False
        self._room_bytes = size
        return True


OnRoom = collections.abc.Callable[[HeldBuffer], None]


class Waiter:
    """Waits for room; can be cancelled."""

    __slots__ = ("size", "room_bytes", "on_room")

    def __init__(self, size: int, room_bytes: int, on_room: OnRoom):
        self.size = size
        self.room_bytes = room_bytes
        self.on_room: OnRoom | None = on_room

    def cancel(self) -> None:
        """Gives up waiting; the callback isn't called."""
        self.on_room = None


class Budget:
    """The room for bodies, by use."""

    def __init__(self, max_memory_bytes: int):
        self._limits = {
            use: int(max_memory_bytes * fraction)
            for use, fraction in _FRACTIONS.items()
        }
        self._held: collections.Counter[Use] = collections.Counter()
        self._waiters: dict[Use, collections.deque[Waiter]] = {
            use: collections.deque() for use in Use
        }
        self._refusals: collections.Counter[Use] = collections.Counter()
        self._granting = False
        self._loop: asyncio.AbstractEventLoop | None = None

    @property
    def held_bytes(self) -> collections.abc.Mapping[Use, int]:
        """Room in use by use, in bytes."""
        return self._held

    @property
    def refusals(self) -> collections.abc.Mapping[Use, int]:
        """Number of bodies that were refused for want of room, by use."""
        return self._refusals

    @property
    def waiting(self) -> int:
        """Number of bodies that wait for room."""
        return sum(
            one.on_room is not None
            for waiters in self._waiters.values()
            for one in waiters
        )

    def limit_bytes(self, use: Use) -> int:
        """Returns the room for a use, in bytes."""
        return self._limits[use]

    def hold(
        self, use: Use, size: int, room_bytes: int | None = None
    ) -> HeldBuffer | None:
        """Returns a buffer; None if there is no room or others wait for it.

        Args:
            use: What it is for; small ones share the room of `SMALL`.
            size: Its size, in bytes.
            room_bytes: Room to take for it, in bytes; its size by default.
        """
        room_bytes = size if room_bytes is None else room_bytes
        use = _use_of(use, room_bytes)
        if self._is_awaited(use) or not self._take(use, room_bytes):
            return None
        return HeldBuffer(self, use, size, room_bytes)

    def hold_small(
        self, size: int, room_bytes: int | None = None
    ) -> HeldBuffer:
        """Returns a buffer for what was already asked for, without a limit.

        The number of such buffers is bounded by that of calls.

        Args:
            size: Its size, in bytes; `SMALL_BYTES` at most.
            room_bytes: Room to take for it, in bytes; its size by default.
        """
        room_bytes = size if room_bytes is None else room_bytes
        self._held[Use.SMALL] += room_bytes
        return HeldBuffer(self, Use.SMALL, size, room_bytes)

    def hold_later(
        self,
        use: Use,
        size: int,
        on_room: OnRoom,
        room_bytes: int | None = None,
    ) -> Waiter:
        """Calls back with a buffer once there is room, in order of arrival.

        Args:
            use: What it is for.
            size: Its size, in bytes.
            on_room: Called later with the buffer.
            room_bytes: Room to take for it, in bytes; its size by default.
        """
        waiter = Waiter(
            size, size if room_bytes is None else room_bytes, on_room
        )
        self._waiters[use].append(waiter)
        self._loop = asyncio.get_running_loop()
        self._grant_later()
        return waiter

    def note_refusal(self, use: Use) -> None:
        """Counts a body that is refused for want of room."""
        self._refusals[use] += 1

    def fits(self, use: Use, size: int) -> bool:
        """Returns whether a body would fit if there were no other."""
        return size <= self._limits[_use_of(use, size)]

    def _take(self, use: Use, size: int) -> bool:
        if self._held[use] + size > self._limits[use]:
            return False
        self._held[use] += size
        return True

    def _release(self, use: Use, size: int) -> None:
        self._held[use] -= size
        if self._waiters[use]:
            self._grant_later()

    def _is_awaited(self, use: Use) -> bool:
        return any(one.on_room is not None for one in self._waiters[use])

    def _grant_later(self) -> None:
        # Not at once: a reference may end anywhere.
        if self._granting or self._loop.is_closed():
            return
        self._granting = True
        self._loop.call_soon(self._grant)

    def _grant(self) -> None:
        self._granting = False
        for use, waiters in self._waiters.items():
            while waiters:
                waiter = waiters[0]
                if waiter.on_room is None:
                    waiters.popleft()
                    continue
                if not self._take(use, waiter.room_bytes):
                    break
                waiters.popleft()
                waiter.on_room(
                    HeldBuffer(self, use, waiter.size, waiter.room_bytes)
                )


def _use_of(use: Use, size: int) -> Use:
    return Use.SMALL if size <= SMALL_BYTES else use


def create_budget(max_memory_bytes: int) -> Budget:
    """Returns an unused budget.

    Args:
        max_memory_bytes: Memory that this process may use, in bytes.
    """
    return Budget(max_memory_bytes)
