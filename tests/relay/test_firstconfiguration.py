"""A stored configuration at a start, before and after others were asked."""

import asyncio

from savorybend.relay import catalog
from savorybend.relay import firstconfiguration
from savorybend.relay import inquiry
from tests import fakes
from tests.relay import samples


class _Start:
    """A daemon's start in a fleet of others."""

    def __init__(self, others=5):
        self._clock = fakes.create_clock()
        self._timers = samples.timer_service(self._clock)
        self.catalog = catalog.create_catalog(samples.decode_configuration)
        self.announced = []
        self.inquiry = inquiry.create_inquiry(lambda: others)
        self._configuration = firstconfiguration.create_first_configuration(
            firstconfiguration.Parts(
                catalog=self.catalog,
                inquiry=self.inquiry,
                timers=self._timers,
                announce=lambda: self.announced.append(self.catalog.version),
            )
        )

    def store_has(self, version):
        self._configuration.offer(b"%d" % version)

    def wait(self, seconds):
        self._clock.advance(seconds)
        self._timers.run_due()


def test_an_older_stored_configuration_is_never_in_force():
    start = _Start()
    versions = []
    start.catalog.subscribe(lambda: versions.append(start.catalog.version))
    start.store_has(1)
    start.inquiry.note("vm-2", 9)
    start.inquiry.note("vm-3", 9)
    assert start.catalog.version == 0
    start.catalog.offer(b"9", "vm-2")
    start.wait(5.0)
    assert versions == [9]


def test_a_stored_configuration_newer_than_the_others_is_in_force_once_asked():
    start = _Start()
    start.catalog.offer(b"1", "vm-2")
    start.store_has(2)
    start.inquiry.note("vm-2", 1)
    assert start.catalog.version == 1
    start.inquiry.note("vm-3", 1)
    assert start.catalog.version == 2
    assert start.announced == [2]


def test_without_other_daemons_the_stored_configuration_is_in_force_at_once():
    start = _Start(others=0)
    start.store_has(1)
    assert start.catalog.version == 1


def test_a_stored_configuration_is_in_force_though_nobody_answers():
    start = _Start()
    start.store_has(1)
    start.wait(5.0)
    assert start.catalog.version == 1


def test_later_stored_configurations_are_in_force_at_once():
    start = _Start()
    start.inquiry.note("vm-2", 0)
    start.inquiry.note("vm-3", 0)
    start.store_has(1)
    start.inquiry.note("vm-4", 9)
    start.store_has(2)
    assert start.catalog.version == 2


async def test_an_inquiry_is_complete_once_two_others_have_answered():
    start = _Start()
    waiting = asyncio.create_task(start.inquiry.wait())
    start.inquiry.note("vm-2", 0)
    start.inquiry.note("vm-2", 0)
    await asyncio.sleep(0)
    assert not waiting.done()
    start.inquiry.note("vm-3", 0)
    await waiting
