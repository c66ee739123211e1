"""A daemon's start with what an earlier start stored of its backend server."""

import asyncio
import types

import pytest

from savorybend.relay import backend
from savorybend.relay import directory
from savorybend.relay import ownrecord
from savorybend.relay import presence
from tests import fakes
from tests.relay import samples

_STORED_SEQUENCE = 7


class _Publisher:
    """Has the record of an earlier start, and stores nothing."""

    def __init__(self, state):
        statement = samples.statement("vm-1", instance="i-1")
        self._record = presence.Record(statement, state, 1000, _STORED_SEQUENCE)

    async def restore(self):
        return self._record

    async def run(self):
        pass

    def publish(self, record):
        pass


class _Harness:
    def __init__(self, state):
        self.server = backend.BackendServer(
            samples.BACKEND_ADDRESS, 1.5, fakes.create_clock(), lambda: None
        )
        self.asked = asyncio.Event()
        own = types.SimpleNamespace(
            statement=samples.statement("vm-1"),
            note_earlier_boot=lambda boot: None,
        )
        self.record = ownrecord.create_own_record(
            ownrecord.Parts(
                own=own,
                server=self.server,
                publisher=_Publisher(state),
                suspects=types.SimpleNamespace(stored=()),
                inquiry=self.asked,
                start=lambda work: work.close(),
            )
        )

    def announce(self):
        self.server.announce(
            samples.announcement(sequence=_STORED_SEQUENCE + 1)
        )


@pytest.fixture
async def start():
    """Begins a daemon's start, up to the answers of the other daemons."""
    tasks = []

    async def begin(state, announced_first=False):
        harness = _Harness(state)
        if announced_first:
            harness.announce()
        tasks.append(asyncio.create_task(harness.record.take_over()))
        await asyncio.sleep(0)
        return harness

    yield begin
    for task in tasks:
        task.cancel()


@pytest.mark.parametrize("state", [directory.ABSENT, directory.DRAINING])
async def test_a_stored_departure_holds_before_other_daemons_are_asked(
    start, state
):
    harness = await start(state)
    harness.announce()
    assert not harness.server.takes_calls


@pytest.mark.parametrize("state", [directory.ABSENT, directory.DRAINING])
async def test_a_stored_departure_ends_what_was_announced_before_it_was_read(
    start, state
):
    harness = await start(state, announced_first=True)
    assert not harness.server.takes_calls


@pytest.mark.parametrize("state", [directory.READY, directory.LOST])
async def test_a_stored_server_is_in_service_once_other_daemons_are_asked(
    start, state
):
    harness = await start(state)
    assert not harness.server.takes_calls
    harness.asked.set()
    await asyncio.sleep(0)
    assert harness.server.takes_calls
