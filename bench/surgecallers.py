"""Callers that retry hard, in a process of their own.

Reads a `Load` as JSON from standard input, makes its requests, and writes one
`Record` a line. Requests come at random times whose seed is fixed, whether or
not earlier ones were answered.
"""

import asyncio
import collections
import random
import sys
import time
import typing

import aiohttp
import msgspec

from standins import caller

_TRIES = 4
_PAUSE_S = 0.05
_IDS_AT_ONCE = 500


class Kind(msgspec.Struct):
    """A kind of request; see `surgeplans.Ask`."""

    route: str
    method: str
    path: str
    part: float
    priority: int
    timeout_s: float
    idempotent: bool
    entries: list[str]


class Phase(msgspec.Struct):
    """A time of steady demand.

    Attributes:
        seconds: How long it lasts.
        rate_per_s: Requests a second of this process.
        factors: What single accounts' parts are multiplied by.
    """

    seconds: float
    rate_per_s: float
    factors: dict[str, float] = {}


class Load(msgspec.Struct):
    """What one process asks for.

    Attributes:
        seed: Of the random times and kinds.
        start_s: When to begin, on the monotonic clock.
        kinds: Kinds of requests.
        accounts: Each account's part of the requests.
        keys: Each account's key.
        phases: Times of steady demand, one after another.
    """

    seed: int
    start_s: float
    kinds: list[Kind]
    accounts: dict[str, float]
    keys: dict[str, str]
    phases: list[Phase]


class Record(msgspec.Struct, array_like=True):
    """What became of one request, all its tries together.

    Attributes:
        arrived_s: When it was first sent, from the start of the load.
        ended_s: When it was over.
        account: Its client account.
        route: Its route.
        priority: Its class.
        whole: Whether it was answered whole and in time.
        tries: How often it was sent.
        request_id: Of its last try.
        outcome: Of its last try.
        reason: Of its last try.
    """

    arrived_s: float
    ended_s: float
    account: str
    route: str
    priority: int
    whole: bool
    tries: int
    request_id: str
    outcome: str
    reason: str


class _Crowd:
    """The callers of every client account."""

    def __init__(self, load: Load, session: aiohttp.ClientSession):
        self._load = load
        self._rng = random.Random(load.seed)
        self._callers = {
            account: caller.Caller(session, key)
            for account, key in load.keys.items()
        }
        self._ids = collections.defaultdict(list)
        self._tasks: list[asyncio.Task] = []

    async def run(self) -> list[Record]:
        """Makes every request of the load."""
        await asyncio.sleep(self._load.start_s - time.monotonic())
        due_s = 0.0
        end_s = 0.0
        for phase in self._load.phases:
            end_s += phase.seconds
            due_s = await self._make(phase, due_s, end_s)
        return list(await asyncio.gather(*self._tasks))

    async def _make(self, phase: Phase, due_s: float, end_s: float) -> float:
        accounts = {
            name: part * phase.factors.get(name, 1.0)
            for name, part in self._load.accounts.items()
        }
        rate_per_s = phase.rate_per_s * sum(accounts.values())
        while True:
            after_s = due_s + self._rng.expovariate(rate_per_s)
            if after_s >= end_s:
                return end_s
            due_s = after_s
            (account,) = self._rng.choices(
                list(accounts), list(accounts.values())
            )
            (kind,) = self._rng.choices(
                self._load.kinds, [kind.part for kind in self._load.kinds]
            )
            entry = self._rng.choice(kind.entries)
            await asyncio.sleep(max(0.0, due_s - self._now_s()))
            work = self._request(account, kind, entry)
            self._tasks.append(asyncio.create_task(work))

    def _now_s(self) -> float:
        return time.monotonic() - self._load.start_s

    async def _request(self, account: str, kind: Kind, entry: str) -> Record:
        arrived_s = self._now_s()
        end_s = arrived_s + kind.timeout_s
        tries = 0
        while True:
            tries += 1
            left_s = end_s - self._now_s()
            result = await self._try(account, kind, entry, left_s)
            late = self._now_s() > end_s
            whole = result.outcome == "ran" and result.status == 200
            if whole or late or tries == _TRIES or not _again(result, kind):
                break
            # Clerks press the button again at once, whatever they were told.
            await asyncio.sleep(_PAUSE_S)
            if self._now_s() >= end_s:
                break
        return Record(
            arrived_s,
            self._now_s(),
            account,
            kind.route,
            kind.priority,
            whole and not late,
            tries,
            result.request_id,
            result.outcome,
            result.reason,
        )

    async def _try(
        self, account: str, kind: Kind, entry: str, left_s: float
    ) -> caller.Result:
        person = self._callers[account]
        headers = {}
        try:
            async with asyncio.timeout(left_s):
                if not kind.idempotent:
                    request_id = await self._take_id(account, entry)
                    headers["Savorybend-Request-Id"] = request_id
                return await person.call(
                    entry,
                    kind.path,
                    method=kind.method,
                    headers=headers,
                    timeout_s=round(left_s, 3),
                )
        except (TimeoutError, aiohttp.ClientError):
            return caller.Result(0, "none", "", "", b"", left_s, 0.0)

    async def _take_id(self, account: str, entry: str) -> str:
        known = self._ids[account, entry]
        if not known:
            person = self._callers[account]
            known += await person.take_ids(entry, _IDS_AT_ONCE)
        return known.pop()


def _again(result: caller.Result, kind: Kind) -> bool:
    return kind.idempotent or result.outcome == "not-run"


async def _run(load: Load) -> list[Record]:
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        return await _Crowd(load, session).run()


def create_command() -> tuple[str, ...]:
    """Returns the arguments that start this program."""
    return sys.executable, "-m", "bench.surgecallers"


class Records(typing.NamedTuple):
    """What all processes saw."""

    records: list[Record]

    @classmethod
    def parse(cls, outputs: list[bytes]) -> "Records":
        """Returns the records of several processes' outputs."""
        found = []
        for output in outputs:
            found += msgspec.json.decode(output, type=list[Record])
        return cls(sorted(found, key=lambda one: one.arrived_s))


def main() -> None:
    """Makes the load on standard input."""
    load = msgspec.json.decode(sys.stdin.buffer.read(), type=Load)
    records = asyncio.run(_run(load))
    sys.stdout.buffer.write(msgspec.json.encode(records))


if __name__ == "__main__":
    main()
