"""Wrongful refusals and excess of the fleet's limit, against simpler ways.

The same schedules run under a hand-driven clock for each way to limit. The
wrongful refusals are the calls that one token bucket which saw every call at
once would have admitted beyond those that were. The excess is what the worst
window admitted beyond rate and burst.
"""

import argparse
import types
import typing

from savorybend.internal import limits
from savorybend.internal import logs
from savorybend.internal import outcomes
from savorybend.internal.ctl import tables
from tests import limitsite
from tests import meters

_RATE_PER_S = 200.0
_BURST = 400.0
_FILL_S = 10.0
_CENTRES = ("east", "west", "north")
_NAMES = tuple(f"{c}-{n}" for c in _CENTRES for n in (1, 2, 3, 4))
_REFUSED = outcomes.refuse(outcomes.LIMITED)


class _Bucket:
    def __init__(self, rate_per_s: float, depth: float, now_s: float):
        self._rate_per_s = rate_per_s
        self._depth = self._tokens = depth
        self._time_s = now_s

    def take(self, now_s: float) -> bool:
        passed_s = now_s - self._time_s
        self._time_s = now_s
        filled = self._tokens + passed_s * self._rate_per_s
        self._tokens = min(self._depth, filled)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class _Baseline:
    """What baselines have in common: no parts, no ledger."""

    def __init__(self, parts: limits.Dependencies):
        self._clock = parts.timers.clock
        self._directory = parts.directory
        self.ledger_synchronizer = types.SimpleNamespace(step=self._step)

    async def _step(self) -> float:
        return 1.0

    def configure(self, current) -> None:
        """Nothing depends on more than the account."""

    def receive(self, peer: str, message: typing.Any) -> None:
        """No message is expected."""

    def lendable_parts(self) -> frozenset[int]:
        """Returns no parts."""
        return frozenset()


class StaticSplit(_Baseline):
    """Each daemon has an equal part of rate and burst."""

    def __init__(self, parts: limits.Dependencies):
        super().__init__(parts)
        self._bucket = None

    async def take(self, account, deadline_s: float) -> outcomes.Verdict:
        """Takes from this daemon's part."""
        now_s = self._clock.now_s()
        if self._bucket is None:
            count = len(self._directory.all())
            self._bucket = _Bucket(
                account.rate_per_s / count, account.burst / count, now_s
            )
        return outcomes.ADMIT if self._bucket.take(now_s) else _REFUSED


class SharedCount(_Baseline):
    """Daemons tell one another their counts, five times a second.

    Each takes what the others had admitted as of the last news off its own
    full bucket.
    """

    _INTERVAL_S = 0.2

    def __init__(self, parts: limits.Dependencies):
        super().__init__(parts)
        self._send = parts.send
        self._admitted = 0
        self._others: dict[str, int] = {}
        self._used = 0.0
        self._time_s = self._clock.now_s()
        parts.timers.every(self._INTERVAL_S, self._tell)

    async def take(self, account, deadline_s: float) -> outcomes.Verdict:
        """Admits while all counts together are inside rate and burst."""
        now_s = self._clock.now_s()
        passed_s = now_s - self._time_s
        self._time_s = now_s
        self._used = max(0.0, self._used - passed_s * account.rate_per_s)
        if self._used + 1.0 > account.burst:
            return _REFUSED
        self._used += 1.0
        self._admitted += 1
        return outcomes.ADMIT

    def receive(self, peer: str, message: limits.messages.TokenRequest) -> None:
        """Takes another daemon's count."""
        count = message.asks[0].tokens
        news = count - self._others.get(peer, 0)
        if news > 0:
            self._others[peer] = count
            self._used += news

    def _tell(self) -> None:
        own = self._directory.own.name
        ask = limits.messages.LoanRequest(0, limitsite.ACCOUNT, self._admitted)
        for record in self._directory.all():
            if record.name != own:
                self._send(record.name, limits.messages.TokenRequest((ask,)))


_WAYS = {
    "ours": limits.create_limiter,
    "static split": StaticSplit,
    "shared count": SharedCount,
}


def _even(part: float) -> dict[str, float]:
    return dict.fromkeys(_NAMES, part * _RATE_PER_S / len(_NAMES))


def _spread(site) -> None:
    site.run(10, _even(0.8))


def _moving(site) -> None:
    for name in ("east-1", "west-2", "north-3"):
        site.run(4, {name: 0.8 * _RATE_PER_S})


def _burst(site) -> None:
    for name in ("east-1", "west-2"):
        for _ in range(int(_BURST / 2)):
            site.offer(name)
        site.run(5, {})


def _whole_burst(site) -> None:
    for _ in range(int(_BURST)):
        site.offer("east-1")
    site.run(5, {})


def _over(site) -> None:
    site.run(10, _even(3.0))


def _allocator_lost(site) -> None:
    site.run(2, _even(0.8))
    for centre in _CENTRES:
        site.remove(site.allocator(centre))
        site.run(4, _even(0.8))


def _frozen(site) -> None:
    name = site.allocator("east")
    site.run(2, _even(0.8))
    site.daemons[name].paused = True
    site.run(4, _even(0.8))
    site.daemons[name].paused = False
    site.run(4, _even(0.8))


def _centre_cut(site) -> None:
    site.cut({name for name in _NAMES if name.startswith("east")})
    site.run(10, _even(0.8))


def _centre_cut_over(site) -> None:
    site.cut({name for name in _NAMES if name.startswith("east")})
    site.run(10, _even(3.0))


def _platform_out(site) -> None:
    site.store.mode = "down"
    site.run(10, _even(0.8))


def _lossy(site) -> None:
    site.loss, site.repeats, site.delay_s = 0.05, 0.05, 0.02
    site.run(10, _even(0.8))


_SCHEDULES = {
    "spread at 80%": _spread,
    "at one daemon, moving, at 80%": _moving,
    "half the burst at one daemon": _burst,
    "the whole burst at one daemon": _whole_burst,
    "three times the rate": _over,
    "allocators killed, 80%": _allocator_lost,
    "allocator frozen 4 s, 80%": _frozen,
    "data centre cut off, 80%": _centre_cut,
    "data centre cut off, 3x": _centre_cut_over,
    "platform out, 80%": _platform_out,
    "5% lost, 5% repeated, 80%": _lossy,
}


def _measure(schedule: str, way: str, seed: int) -> dict:
    site = limitsite.Site(seed, _CENTRES, _WAYS[way])
    site.configure(_RATE_PER_S, _BURST)
    for name in _NAMES:
        site.add(name, name.split("-")[0])
    site.run(_FILL_S, {})
    begin_s, sent = site.clock.now_s(), site.sent
    _SCHEDULES[schedule](site)
    passed_s = site.clock.now_s() - begin_s
    site.run(3.0, {})
    ideal = _Bucket(_RATE_PER_S, _BURST, begin_s)
    inside = sum(ideal.take(at_s) for at_s, _ in sorted(site.verdicts))
    wrongful = max(0, inside - len(site.admissions))
    meter = meters.Meter(begin_s)
    meter.add(site.admissions, _RATE_PER_S)
    row = {
        "schedule": schedule,
        "way": way,
        "calls": len(site.verdicts),
        "admitted": len(site.admissions),
        "wrongful_percent": 100.0 * wrongful / len(site.verdicts),
        "excess_calls": max(0.0, meter.worst - _BURST),
        "messages_per_s": (site.sent - sent) / passed_s,
    }
    site.close()
    return row


def main() -> None:
    """Prints the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    logs.set_up("error", "bench")
    rows = [
        _measure(schedule, way, options.seed)
        for schedule in _SCHEDULES
        for way in _WAYS
    ]
    print(tables.render(rows, options.json))


if __name__ == "__main__":
    main()
