"""Chooses the daemon that lends the client accounts' tokens.

The order takes one daemon of each data centre in turn. It answers the loss of
the lender's data centre: with all of its daemons first, each had to be found
unreachable before another one was asked, and calls were refused meanwhile.
"""

import collections.abc

from savorybend.relay import directory
from savorybend.relay import frames


class LenderChoice:
    """The order in which daemons become the lender."""

    def __init__(
        self,
        own: collections.abc.Callable[[], frames.Statement],
        known: directory.Directory,
    ):
        self._own = own
        self._directory = known
        self._changes = -1
        self._order: list[str] = []

    @property
    def order(self) -> list[str]:
        """Names of all daemons, the preferred lender first."""
        if self._changes != self._directory.changes:
            self._changes = self._directory.changes
            self._order = _in_turn([self._own(), *self._directory.all()])
        return self._order

    def choose(self, unreachable: collections.abc.Callable[[str], bool]) -> str:
        """Returns the first daemon that is reachable, or this one.

        Args:
            unreachable: Returns whether another daemon can't be reached.
        """
        own = self._own().daemon
        for name in self.order:
            if name == own or not unreachable(name):
                return name
        return own


def _in_turn(
    statements: collections.abc.Iterable[frames.Statement],
) -> list[str]:
    """Returns names in order of their rank in their data centre."""
    ranks: dict[str, int] = {}
    ranked = []
    for statement in sorted(statements, key=lambda one: one.daemon):
        rank = ranks.get(statement.data_centre, 0)
        ranks[statement.data_centre] = rank + 1
        ranked.append((rank, statement.daemon))
    return [name for _, name in sorted(ranked)]


def create_lender_choice(
    own: collections.abc.Callable[[], frames.Statement],
    known: directory.Directory,
) -> LenderChoice:
    """Returns a choice among the known daemons.

    Args:
        own: Returns this daemon's statement.
        known: The other daemons.
    """
    return LenderChoice(own, known)
