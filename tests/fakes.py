"""Hand-driven fakes at the interfaces."""


class ManualClock:
    """A clock that moves only when told."""

    def __init__(self, now_s: float = 1000.0):
        self._now_s = now_s

    def now_s(self) -> float:
        return self._now_s

    def advance(self, seconds: float) -> None:
        self._now_s += seconds


def create_clock() -> ManualClock:
    return ManualClock()
