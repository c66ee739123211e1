"""The room for bodies is never passed, and is whole again at the end."""

import asyncio

import hypothesis
import pytest
from hypothesis import strategies

from savorybend.relay import bytebudget

_MEMORY_BYTES = 100 << 20
_LARGE_USES = [one for one in bytebudget.Use if one is not bytebudget.Use.SMALL]
_SIZES = strategies.integers(1, 40 << 20)
_STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["hold", "wait", "drop", "cancel", "grow"]),
        strategies.sampled_from(_LARGE_USES),
        _SIZES,
    ),
    max_size=40,
)


class _Holders:
    """Holds room for bodies as steps say, without buffers of their size."""

    def __init__(self):
        self.budget = bytebudget.create_budget(_MEMORY_BYTES)
        self.buffers = []
        self.waiters = []

    def take(self, step):
        kind, use, size = step
        match kind:
            case "hold":
                buffer = self.budget.hold(use, 0, size)
                if buffer is not None:
                    self.buffers.append(buffer)
            case "wait":
                size = max(size, bytebudget.SMALL_BYTES + 1)
                self.waiters.append(
                    self.budget.hold_later(use, 0, self.buffers.append, size)
                )
            case "drop" if self.buffers:
                self.buffers.pop(size % len(self.buffers))
            case "cancel" if self.waiters:
                self.waiters.pop(size % len(self.waiters)).cancel()
            case "grow" if self.buffers:
                self.buffers[size % len(self.buffers)].grow(size)

    def check(self):
        for use in bytebudget.Use:
            held = self.budget.held_bytes[use]
            assert 0 <= held <= self.budget.limit_bytes(use)


@hypothesis.given(_STEPS)
async def test_the_room_is_never_passed_and_is_whole_at_the_end(steps):
    holders = _Holders()
    for step in steps:
        holders.take(step)
        holders.check()
        await asyncio.sleep(0)
        holders.check()
    for waiter in holders.waiters:
        waiter.cancel()
    holders.buffers.clear()
    await asyncio.sleep(0)
    holders.buffers.clear()
    assert sum(holders.budget.held_bytes.values()) == 0
    assert holders.budget.waiting == 0


@hypothesis.given(strategies.lists(strategies.integers(300_000, 8 << 20)))
async def test_room_is_given_in_order_of_arrival(sizes):
    budget = bytebudget.create_budget(_MEMORY_BYTES)
    use = bytebudget.Use.ANSWERS
    held = [budget.hold(use, 0, budget.limit_bytes(use))]
    order = []

    def wait(number, size):
        def on_room(buffer):
            order.append(number)
            held.append(buffer)

        budget.hold_later(use, 0, on_room, size)

    for number, size in enumerate(sizes):
        wait(number, size)
    for _ in sizes:
        held.clear()
        await asyncio.sleep(0)
    assert order == list(range(len(sizes)))


async def test_a_large_body_is_not_overtaken_by_those_that_came_later():
    budget = bytebudget.create_budget(_MEMORY_BYTES)
    use = bytebudget.Use.REQUESTS
    held = [budget.hold(use, 0, budget.limit_bytes(use) - 1_000_000)]
    budget.hold_later(use, 0, held.append, 2_000_000)
    assert budget.hold(use, 0, 500_000) is None
    # Small bodies have room of their own.
    assert budget.hold(use, 60_000) is not None
    held.clear()
    await asyncio.sleep(0)
    assert len(held) == 1
    assert budget.hold(use, 0, 500_000) is not None


@pytest.mark.parametrize("use", _LARGE_USES)
def test_no_use_takes_the_room_of_another(use):
    budget = bytebudget.create_budget(_MEMORY_BYTES)
    held = []
    while (buffer := budget.hold(use, 0, 1 << 20)) is not None:
        held.append(buffer)
    for other in _LARGE_USES:
        found = budget.hold(other, 0, 1 << 20)
        assert (found is None) == (other is use)


def test_all_room_together_leaves_the_daemon_50_mib_of_200():
    budget = bytebudget.create_budget(200 << 20)
    room_bytes = sum(budget.limit_bytes(use) for use in bytebudget.Use)
    assert room_bytes <= 150 << 20
    # The largest body that callers may send, and its head.
    assert budget.fits(bytebudget.Use.REQUESTS, (64 << 20) + (1 << 17))


def test_a_view_keeps_the_room_of_its_buffer():
    budget = bytebudget.create_budget(_MEMORY_BYTES)
    buffer = budget.hold(bytebudget.Use.REQUESTS, 1_000_000)
    view = memoryview(buffer)[10:20]
    del buffer
    assert budget.held_bytes[bytebudget.Use.REQUESTS] == 1_000_000
    del view
    assert budget.held_bytes[bytebudget.Use.REQUESTS] == 0
