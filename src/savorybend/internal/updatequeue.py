"""The queue of membership updates that are still to be passed on."""

import itertools
import math

from savorybend.internal.wire import membership as wire

# The updates of a whole data centre are sent in a few rounds, and a message
# stays far below its size limit.
_MOST_IN_A_ROUND = 64
_MOST_ON_A_PROBE = 8


class UpdateQueue:
    """Holds updates for one round to all neighbours, then for some probes.

    The round spreads updates fast. The probes repeat them a bounded number of
    times for neighbours whose connection lost the first message. Updates that
    are still lost are left to the repair.
    """

    def __init__(self):
        self._fresh: dict[str, wire.Update] = {}
        self._repeated: dict[str, wire.Update] = {}
        self._sent: dict[str, int] = {}

    @property
    def fresh(self) -> bool:
        """Whether updates wait for a round."""
        return bool(self._fresh)

    def add(self, update: wire.Update) -> None:
        """Adds an update in place of an older one of the same daemon."""
        name = update.record.name
        self._fresh[name] = update
        self._repeated.pop(name, None)

    def take_round(self) -> list[wire.Update]:
        """Removes and returns the updates of the next round."""
        names = list(itertools.islice(self._fresh, _MOST_IN_A_ROUND))
        chosen = [self._fresh.pop(name) for name in names]
        for update in chosen:
            self._repeated[update.record.name] = update
            self._sent[update.record.name] = 0
        return chosen

    def take_repeated(self, members: int) -> list[wire.Update]:
        """Returns updates to repeat on a probe.

        Args:
            members: The number of daemons in the fleet. Each update is
                repeated about log2 of it times.
        """
        most = math.ceil(math.log2(members + 1))
        names = list(itertools.islice(self._repeated, _MOST_ON_A_PROBE))
        chosen = [self._repeated.pop(name) for name in names]
        for update in chosen:
            name = update.record.name
            self._sent[name] += 1
            if self._sent[name] < most:
                # Moves to the end, so that all updates have their turn.
                self._repeated[name] = update
            else:
                del self._sent[name]
        return chosen


def create_update_queue() -> UpdateQueue:
    """Returns an empty queue."""
    return UpdateQueue()
