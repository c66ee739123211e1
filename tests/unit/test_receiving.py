"""A daemon keeps the calls of its peers apart."""

import asyncio

import pytest

from savorybend.internal import receiving
from savorybend.internal import timers
from savorybend.internal.wire import calls
from tests import fakes

pytestmark = pytest.mark.asyncio

_HEAD_FIELDS = dict.fromkeys(calls.CallHead.__struct_fields__, "")
_HEAD = calls.CallHead(**{**_HEAD_FIELDS, "headers": [], "timeout_s": 5.0})


class _Transport:
    def __init__(self):
        self.handlers = {}

    def subscribe(self, kind, handler):
        self.handlers[kind] = handler

    def subscribe_breaks(self, listener):
        self.break_off = listener

    def take(self, message):
        self.handlers[type(message)]("one", message)


class _Target:
    """Runs until it is cancelled, and then some."""

    def __init__(self):
        self.cancelled = 0

    async def execute(self, call, body):
        try:
            await asyncio.get_running_loop().create_future()
        finally:
            self.cancelled += 1
            await asyncio.sleep(0.01)


async def test_a_call_outlives_one_of_its_number_from_before_a_restart():
    # A restarted peer counts its streams from 1 again. The end of the call
    # that the break had cancelled used to remove the new call of that number,
    # so that its body, credits and cancellation found nothing.
    transport, target = _Transport(), _Target()
    service = timers.create_manual_timer_service(fakes.create_clock())
    receiver = receiving.create_receiver(transport, service, target)
    transport.take(calls.CallStart(1, _HEAD, b"", True))
    await asyncio.sleep(0)
    transport.break_off("one")
    transport.take(calls.CallStart(1, _HEAD, b"", True))
    await asyncio.sleep(0.05)
    assert (receiver.in_flight, target.cancelled) == (1, 1)
    transport.take(calls.CallCancel(1))
    await asyncio.sleep(0.05)
    assert (receiver.in_flight, target.cancelled) == (0, 2)
