"""Daemons go on whatever another writer leaves among their records."""

import asyncio
import contextlib
import signal

from standins import objects as standin
from tests.platform import fleets
from tests.platform import oddentries

_KIND = "savorybend-daemons"
_KNOWN = 'savorybend_known_daemons{state="ready"}'
# A daemon writes its record a second time about 2 s after its start.
_SETTLING_S = 2.5
_QUIET_S = 1.0
# Two daemons watch two kinds, and each watch takes up to 28 s.
_MAX_QUIET_CALLS = 4
# Each daemon reads an entry when it is changed and in a complete listing; one
# that starts reads a listing before that, which may be old.
_MAX_LINES_PER_ENTRY = 3


@contextlib.asynccontextmanager
async def _calling(fleet, machine):
    """Yields the statuses of calls that go on meanwhile."""
    seen = set()

    async def call_on():
        while True:
            status, _, _ = await fleet.call(machine, "/reads/x")
            seen.add(status)
            await asyncio.sleep(0.02)

    calls = asyncio.create_task(call_on())
    try:
        yield seen
    finally:
        calls.cancel()


async def _know(machines, count):
    return all([await one.metric(_KNOWN) == count for one in machines])


def _passed_over(machine):
    lines = machine.log().splitlines()
    return sum("passed_over" in line for line in lines)


async def test_daemons_follow_the_records_beside_odd_ones(tmp_path):
    # Daemons that read the list ended, or no longer followed it.
    odd = oddentries.one_of_each_kind()
    services = ["ledger", "ledger", "shop"]
    async with (
        fleets.running(tmp_path, services, data_centres=1) as fleet,
        _calling(fleet, fleet.machines[2]) as seen,
    ):
        for name, raw in odd.items():
            entry = standin.Stored(name, 0, 0, raw=raw)
            await fleet.store.write(_KIND, entry)
        added = await fleet.add("ledger")
        await fleet.until(lambda: _know(fleet.machines, 3))
        await fleet.until(added.ready)
        await asyncio.sleep(_SETTLING_S)
        before = sum(fleet.store.calls.values())
        await asyncio.sleep(_QUIET_S)
        made = sum(fleet.store.calls.values()) - before
        leaving = fleet.machines[0].worker
        leaving.draining = True
        assert await leaving.announce() == 200
        await fleet.until(lambda: _know(fleet.machines[1:], 2))
        assert seen == {200}
        assert made <= _MAX_QUIET_CALLS
        for machine in fleet.machines:
            assert machine.process.returncode is None
            assert "Traceback" not in machine.log()
            assert _passed_over(machine) <= _MAX_LINES_PER_ENTRY * len(odd)


async def _replace(fleet, machine, spec):
    found = fleet.store.get(_KIND, machine.name)
    found.raw = oddentries.stored(spec, b'"%s"' % machine.name.encode())
    await fleet.store.write(_KIND, found)


async def _is_written_again(fleet, machine):
    found = fleet.store.get(_KIND, machine.name)
    return found.raw is None and found.spec["statement"]["state"] == "ready"


async def test_an_odd_record_in_place_of_a_daemons_own_is_replaced(tmp_path):
    # Daemons that started afterwards didn't learn of it.
    services = ["ledger", "shop"]
    specs = [oddentries.DEEP["arrays"], b"null", oddentries.record()]
    async with fleets.running(tmp_path, services, data_centres=1) as fleet:
        running, restarted = fleet.machines
        for spec in specs:
            await _replace(fleet, running, spec)
            await fleet.until(lambda: _is_written_again(fleet, running))
        for spec in specs:
            restarted.signal(signal.SIGKILL)
            await restarted.ended()
            await _replace(fleet, restarted, spec)
            await restarted.start_daemon()
            await fleet.until(lambda: _is_written_again(fleet, restarted))
        await fleet.until(lambda: _know(fleet.machines, 1))
        for machine in fleet.machines:
            assert machine.process.returncode is None
            assert "Traceback" not in machine.log()
