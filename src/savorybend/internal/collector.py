"""Sets Python's garbage collector up for short pauses."""

import gc

# New objects of a call are freed by their counts; the collector looks only
# for cycles, which a call leaves few of, so it may look seldom.
_YOUNG_OBJECTS = 10_000
_YOUNG_ROUNDS = 10
_MIDDLE_ROUNDS = 10


def configure() -> None:
    """Exempts what exists now, so that no later collection visits it.

    Called once a daemon has started: its modules and parts live as long as it
    does, and visiting them would hold up the calls in flight.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(_YOUNG_OBJECTS, _YOUNG_ROUNDS, _MIDDLE_ROUNDS)
