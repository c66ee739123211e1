"""The receiver keeps calls with the same stream number apart."""

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

    def deliver(self, message):
        self.handlers[type(message)]("one", message)


class _Target:
    """Runs until it is cancelled, and takes 10 ms to end after that."""

    def __init__(self):
        self.cancelled = 0

    async def execute(self, call, body):
        try:
            await asyncio.get_running_loop().create_future()
        finally:
            self.cancelled += 1
            await asyncio.sleep(0.01)


async def test_a_call_is_kept_when_an_older_call_with_its_stream_number_ends():
    # A restarted peer numbers its streams from 1 again. When the call that the
    # broken connection cancelled ended, it used to remove the new call with its
    # number, whose body chunks, credits and cancellation were then ignored.
    transport, target = _Transport(), _Target()
    service = timers.create_manual_timer_service(fakes.create_clock())
    receiver = receiving.create_receiver(transport, service, target)
    transport.deliver(calls.CallStart(1, _HEAD, b"", True))
    await asyncio.sleep(0)
    transport.break_off("one")
    transport.deliver(calls.CallStart(1, _HEAD, b"", True))
    await asyncio.sleep(0.05)
    assert (receiver.in_flight, target.cancelled) == (1, 1)
    transport.deliver(calls.CallCancel(1))
    await asyncio.sleep(0.05)
    assert (receiver.in_flight, target.cancelled) == (0, 2)
