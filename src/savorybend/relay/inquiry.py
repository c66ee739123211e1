"""Which other daemons have said what they know since this one started."""

import asyncio
import collections.abc

# One alone may have restarted as well.
_MIN_ASKED = 2

Listener = collections.abc.Callable[[], None]


class Inquiry:
    """Tracks the other daemons that this one has been connected to.

    What the store says at a start may be older than what they know, since it
    may have come back from a copy.
    """

    def __init__(self, others: collections.abc.Callable[[], int]):
        """Creates an inquiry.

        Args:
            others: Returns how many other daemons are known.
        """
        self._others = others
        self._asked: set[str] = set()
        self._newest_version = 0
        self._complete = asyncio.Event()
        self._listeners: list[Listener] = []

    @property
    def complete(self) -> bool:
        """Whether enough have answered; false while no other one is known."""
        return self._complete.is_set()

    @property
    def none_known(self) -> bool:
        """Whether there is no other daemon that could answer."""
        return self._others() == 0

    @property
    def newest_version(self) -> int:
        """Version of the newest configuration that one has; 0 for none."""
        return self._newest_version

    def subscribe(self, listener: Listener) -> None:
        """Calls `listener` after each answer."""
        self._listeners.append(listener)

    def note(self, daemon: str, version: int) -> None:
        """Notes that another daemon has said what it knows.

        Args:
            daemon: Its name.
            version: Version of its configuration; 0 for none.
        """
        self._asked.add(daemon)
        self._newest_version = max(version, self._newest_version)
        if len(self._asked) >= min(_MIN_ASKED, self._others()):
            self._complete.set()
        for listener in self._listeners:
            listener()

    async def wait(self) -> None:
        """Waits until it is complete."""
        await self._complete.wait()


def create_inquiry(others: collections.abc.Callable[[], int]) -> Inquiry:
    """Returns an inquiry that nobody has answered.

    Args:
        others: Returns how many other daemons are known.
    """
    return Inquiry(others)
