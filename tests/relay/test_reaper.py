"""Records of machines that are gone for good don't stay."""

import asyncio

from savorybend.relay import reaper
from savorybend.relay import store
from tests import fakes


class _Store:
    def __init__(self):
        self.deleted = []

    async def get(self, kind, name):
        return store.StoredObject(name, 7, b"{}")

    async def delete(self, kind, name, expected):
        self.deleted.append((name, expected))


class _Place:
    def __init__(self):
        self.clock = fakes.create_clock()
        self.store = _Store()
        self.reporting = {"here"}
        self.unreachable = {"gone"}
        self.absentees = reaper.create_reaper(
            reaper.Parts(
                clock=self.clock,
                names=lambda: ["here", "gone"],
                reporting=lambda: self.reporting,
                unreachable=lambda name: name in self.unreachable,
                client=self.store,
                start=asyncio.run,
            )
        )

    def wait(self, seconds):
        for _ in range(seconds):
            self.clock.advance(1.0)
            self.absentees.check()


def test_one_that_is_missing_and_out_of_reach_for_long_is_removed():
    place = _Place()
    place.wait(10)
    assert place.store.deleted == []
    place.wait(5)
    assert place.store.deleted == [("gone", 7)]


def test_one_that_can_be_reached_is_kept():
    place = _Place()
    place.unreachable.clear()
    place.wait(60)
    assert place.store.deleted == []


def test_one_that_reports_again_begins_afresh():
    place = _Place()
    place.wait(10)
    place.reporting = {"here", "gone"}
    place.wait(1)
    place.reporting = {"here"}
    place.wait(10)
    assert place.store.deleted == []


def test_who_does_not_lend_removes_nobody():
    place = _Place()
    place.reporting = None
    place.wait(60)
    assert place.store.deleted == []
