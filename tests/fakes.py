"""Hand-driven fakes at the interfaces."""

from savorybend.internal import calls


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


def create_call(**fields) -> calls.Call:
    """Returns a call; fields that aren't given are plain."""
    plain = calls.Call(
        request_id="east-1.1.1",
        client_account="maruyama",
        route="back",
        service="back",
        priority=5,
        idempotent=True,
        method="GET",
        target="/back",
        headers=[],
        deadline_s=2000.0,
        retries=3,
        depth=0,
    )
    return plain._replace(**fields)
