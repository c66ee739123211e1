"""Measures what membership costs a daemon, against the size of the fleet.

Members run in one process under a hand-driven clock, with the real codec and
six data centres. Run: python -m bench.fleet
"""

import gc
import time
import tracemalloc
import typing

from savorybend.internal import members
from savorybend.internal import neighbours
from savorybend.internal import roster as rosters
from savorybend.internal.wire import membership as wire
from tests import fakes

_SIZES = (10, 30, 100, 300, 1000)
_CUT_SIZES = (12, 30, 100, 300)
_CENTRES = ("a", "b", "c", "d", "e", "f")
_SETTLE_S = 3.0
_IDLE_S = 20.0
_STEP_S = 0.05
_FINE_S = 0.01
_LONGEST_S = 60.0


class Row(typing.NamedTuple):
    """One size of the fleet; all but the news are for one daemon.

    Attributes:
        size: Members.
        neighbours: Most neighbours that a member has.
        bytes_per_s: Control traffic sent while nothing happens.
        messages_per_s: The same, in messages.
        cpu_us: Processor time a message, sending and receiving, in us.
        cpu_share: Processor time for this traffic, in percent of a core.
        memory: Bytes that a member costs another one.
        news_s: Until a member that joined is known everywhere, in seconds.
        news_bytes: Bytes sent because of it, a daemon.
        loss_s: Until a member that died is gone everywhere, in seconds.
    """

    size: int
    neighbours: int
    bytes_per_s: float
    messages_per_s: float
    cpu_us: float
    cpu_share: float
    memory: float
    news_s: float
    news_bytes: float
    loss_s: float


def measure(size: int) -> Row:
    """Measures a fleet of a size."""
    memory = _memory(size)
    fleet = fakes.create_fleet(size, _CENTRES)
    fleet.advance(_SETTLE_S, _STEP_S)
    idle = _run(fleet, _IDLE_S)
    news_s, news_bytes = _join_one(fleet, idle[0] / _IDLE_S)
    return Row(
        size,
        max(len(m.membership.neighbours) for m in fleet.members.values()),
        idle[0] / _IDLE_S / size,
        idle[1] / _IDLE_S / size,
        1e6 * idle[2] / idle[1],
        100 * idle[2] / _IDLE_S / size,
        memory,
        news_s,
        news_bytes / size,
        _lose_one(fleet),
    )


def _run(fleet: fakes.Fleet, seconds: float) -> tuple[int, int, float]:
    """Returns the bytes, messages and processor time of a stretch."""
    sent, messages = fleet.sent_bytes, fleet.sent_messages
    began_s = time.process_time()
    fleet.advance(seconds, _STEP_S)
    return (
        fleet.sent_bytes - sent,
        fleet.sent_messages - messages,
        time.process_time() - began_s,
    )


def _join_one(
    fleet: fakes.Fleet, idle_bytes_per_s: float
) -> tuple[float, float]:
    sent = fleet.sent_bytes
    fleet.add("late", _CENTRES[0])
    fleet.join("late", "m0")
    passed_s = _until(fleet, lambda m: m.directory.get("late"))
    fleet.advance(_SETTLE_S, _STEP_S)
    usual = idle_bytes_per_s * (passed_s + _SETTLE_S)
    return passed_s, fleet.sent_bytes - sent - usual


def _lose_one(fleet: fakes.Fleet) -> float:
    del fleet.members["late"]
    return _until(fleet, lambda m: not m.directory.get("late"))


def _until(fleet: fakes.Fleet, holds) -> float:
    passed_s = 0.0
    while passed_s < _LONGEST_S:
        if all(holds(member) for member in fleet.members.values()):
            return passed_s
        fleet.advance(_FINE_S, _FINE_S)
        passed_s += _FINE_S
    return float("inf")


def _memory(size: int) -> float:
    """Returns the bytes that each member costs a daemon that knows it."""
    gc.collect()
    tracemalloc.start()
    directory = members.create_directory(fakes.create_record("own"))
    roster = rosters.create_roster(
        directory, fakes.create_clock(), fakes.create_signer("own")
    )
    chosen = neighbours.create_neighbours(directory)
    before, _ = tracemalloc.get_traced_memory()
    for number in range(size):
        centre = _CENTRES[number % len(_CENTRES)]
        record = fakes.create_record(f"m{number}", centre)
        roster.apply(wire.Update(record, rosters.ALIVE))
    chosen.all()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return (after - before) / size


class Cut(typing.NamedTuple):
    """What the cut of a data centre, and its end, cost.

    Attributes:
        size: Members.
        parted_s: Until each side knows just its own members, in seconds.
        healed_s: From the first contact after the cut until all agree.
        healed_bytes: Bytes that a daemon sent for that.
    """

    size: int
    parted_s: float
    healed_s: float
    healed_bytes: float


def measure_cut(size: int) -> Cut:
    """Cuts one of the data centres off for a while."""
    fleet = fakes.create_fleet(size, _CENTRES)
    fleet.advance(_SETTLE_S, _STEP_S)
    everyone = set(fleet.members)
    away = {f"m{number}" for number in range(0, size, len(_CENTRES))}
    sides = {n: away if n in away else everyone - away for n in everyone}
    fleet.part(away, everyone - away)
    parted_s = _until(fleet, lambda m: m.sees() == sides[m.name])
    fleet.advance(_IDLE_S, _STEP_S)
    fleet.cut.clear()
    sent = fleet.sent_bytes
    fleet.join("m0", "m1")
    healed_s = _until(fleet, lambda m: m.sees() == everyone)
    return Cut(size, parted_s, healed_s, (fleet.sent_bytes - sent) / size)


def main() -> None:
    """Prints the table."""
    print(
        "members neighbours  B/s msg/s us/msg  cpu%  B/member news s "
        "news B loss s"
    )
    for size in _SIZES:
        row = measure(size)
        print(
            f"{row.size:7} {row.neighbours:10} {row.bytes_per_s:4.0f} "
            f"{row.messages_per_s:5.2f} {row.cpu_us:6.0f} "
            f"{row.cpu_share:5.3f} {row.memory:9.0f} {row.news_s:6.2f} "
            f"{row.news_bytes:6.0f} {row.loss_s:6.2f}",
            flush=True,
        )
    print("members cut seen s healed s healed B")
    for size in _CUT_SIZES:
        cut = measure_cut(size)
        print(
            f"{cut.size:7} {cut.parted_s:10.2f} {cut.healed_s:8.2f} "
            f"{cut.healed_bytes:8.0f}",
            flush=True,
        )


if __name__ == "__main__":
    main()
