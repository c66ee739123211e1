"""News of daemons that is still to be passed on."""

import itertools
import math

from savorybend.internal.wire import membership as wire

# A data centre's worth of news passes in a few rounds, and a message stays
# far below its limit.
_MOST_IN_A_ROUND = 64
_MOST_ON_A_PROBE = 8


class UpdateQueue:
    """Keeps news for one round to all neighbours, then for some probes.

    The round makes news fast; the probes repeat it for neighbours whose
    connection lost it. The count of repetitions is bounded, and what still
    got lost is left to the repair.
    """

    def __init__(self):
        self._fresh: dict[str, wire.Update] = {}
        self._repeated: dict[str, wire.Update] = {}
        self._sent: dict[str, int] = {}

    @property
    def fresh(self) -> bool:
        """Whether news waits for a round."""
        return bool(self._fresh)

    def add(self, update: wire.Update) -> None:
        """Takes news; it replaces older news of the same daemon."""
        name = update.record.name
        self._fresh[name] = update
        self._repeated.pop(name, None)

    def take_round(self) -> list[wire.Update]:
        """Returns the news that all neighbours are to be sent now."""
        names = list(itertools.islice(self._fresh, _MOST_IN_A_ROUND))
        chosen = [self._fresh.pop(name) for name in names]
        for update in chosen:
            self._repeated[update.record.name] = update
            self._sent[update.record.name] = 0
        return chosen

    def take_repeated(self, members: int) -> list[wire.Update]:
        """Returns news to repeat on a probe.

        Args:
            members: How many daemons the fleet has; news is repeated about
                log2 of it times.
        """
        most = math.ceil(math.log2(members + 1))
        names = list(itertools.islice(self._repeated, _MOST_ON_A_PROBE))
        chosen = [self._repeated.pop(name) for name in names]
        for update in chosen:
            name = update.record.name
            self._sent[name] += 1
            if self._sent[name] < most:
                # Back to the end, so that all news has its turn.
                self._repeated[name] = update
            else:
                del self._sent[name]
        return chosen


def create_update_queue() -> UpdateQueue:
    """Returns a store without news."""
    return UpdateQueue()
