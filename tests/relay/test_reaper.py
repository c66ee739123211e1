"""Records of daemons that have disappeared are removed."""

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


class _Fixture:
    def __init__(self):
        self.clock = fakes.create_clock()
        self.store = _Store()
        self.reporting = {"here"}
        self.unreachable = {"gone"}
        self.data_centres = {}
        self.reaper = reaper.create_reaper(
            reaper.Parts(
                clock=self.clock,
                names=lambda: ["here", "gone"],
                reporting=lambda: self.reporting,
                unreachable=lambda name: name in self.unreachable,
                data_centre=lambda name: self.data_centres.get(name),
                client=self.store,
                start=asyncio.run,
            )
        )

    def wait(self, seconds):
        for _ in range(seconds):
            self.clock.advance(1.0)
            self.reaper.check()


def test_daemon_missing_and_unreachable_for_long_is_removed():
    fixture = _Fixture()
    fixture.wait(10)
    assert fixture.store.deleted == []
    fixture.wait(5)
    assert fixture.store.deleted == [("gone", 7)]


def test_reachable_daemon_is_kept():
    fixture = _Fixture()
    fixture.unreachable.clear()
    fixture.wait(60)
    assert fixture.store.deleted == []


def test_report_resets_the_removal_delay():
    fixture = _Fixture()
    fixture.wait(10)
    fixture.reporting = {"here", "gone"}
    fixture.wait(1)
    fixture.reporting = {"here"}
    fixture.wait(10)
    assert fixture.store.deleted == []


def test_daemon_that_is_not_the_lender_removes_none():
    fixture = _Fixture()
    fixture.reporting = None
    fixture.wait(60)
    assert fixture.store.deleted == []


def test_a_data_centre_that_is_cut_off_keeps_its_records():
    # The others lent its share too, while it went on lending it.
    fixture = _Fixture()
    fixture.data_centres = {"here": "east", "gone": "west"}
    fixture.wait(600)
    assert fixture.store.deleted == []


def test_a_daemon_that_others_of_its_data_centre_outlive_is_removed():
    fixture = _Fixture()
    fixture.data_centres = {"here": "east", "gone": "east"}
    fixture.wait(15)
    assert fixture.store.deleted == [("gone", 7)]


def test_the_removal_delay_begins_as_a_data_centre_is_reached_again():
    fixture = _Fixture()
    fixture.data_centres = {"here": "east", "other": "west", "gone": "west"}
    fixture.wait(60)
    fixture.reporting = {"here", "other"}
    fixture.wait(10)
    assert fixture.store.deleted == []
    fixture.wait(5)
    assert fixture.store.deleted == [("gone", 7)]
