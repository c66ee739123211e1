"""Calls that are late or quarantined aren't sent to the backend server."""

import pytest

from savorybend.internal import backendserver
from savorybend.internal import bodies
from savorybend.internal import concurrency
from savorybend.internal import fingerprints
from savorybend.internal import handles
from savorybend.internal import journal
from savorybend.internal import members
from savorybend.internal import quarantine
from savorybend.internal import records
from savorybend.internal import serving
from savorybend.internal import timers
from savorybend.internal.wire import requests as wire
from tests import fakes
from tests import requests

_WAIT_S = 5.0


class _Transport:
    """Delivers reports of backend server crashes."""

    def __init__(self):
        self.handlers = {}

    def subscribe(self, kind, handler):
        self.handlers[kind] = handler

    def report_crashes(self, call, count):
        fingerprint = fingerprints.of_content(call, bodies.EMPTY)
        for number in range(count):
            message = wire.Death(fingerprint, number)
            self.handlers[wire.Death]("m2", message)


class _Session:
    """Counts the requests to the backend server; each times out."""

    def __init__(self):
        self.sent = 0

    async def request(self, *arguments, **options):
        self.sent += 1
        raise TimeoutError


class _InterceptedGate:
    """A gate that runs a callback while a call waits."""

    def __init__(self, gate, on_enter):
        self._gate = gate
        self._on_enter = on_enter

    def __getattr__(self, name):
        return getattr(self._gate, name)

    async def acquire(self, call):
        permit = await self._gate.acquire(call)
        self._on_enter(call)
        return permit


class _ServingSetup:
    """A serving side with a backend server that only counts requests."""

    def __init__(self, on_enter=lambda setup, call: None):
        self.clock = fakes.create_clock()
        self.session, self.transport = _Session(), _Transport()
        gate = concurrency.create_gate(
            timers.create_manual_timer_service(self.clock)
        )
        directory = members.create_directory(fakes.create_record("m1"))
        server = backendserver.create_backend_server(gate)
        server.take_announcement({"address": "127.0.0.1:1", "slots": 4})
        self.gate = _InterceptedGate(gate, lambda call: on_enter(self, call))
        self.serving = serving.create_serving(
            serving.Parts(
                daemon="m1",
                clock=self.clock,
                gate=self.gate,
                backend_server=server,
                handles=handles.create_handles(),
                journal=journal.create_journal("m1", 10),
                records=records.create_records("m1", self.clock),
                quarantine=quarantine.create_quarantine(
                    quarantine.Parts(self.transport, directory, self.clock)
                ),
                session=self.session,
            )
        )

    async def serve(self, call):
        answer = await self.serving.execute(call, bodies.EMPTY)
        assert self.gate.in_use == 0
        return answer.outcome.value, answer.reason, self.session.sent


def _create_call(create, left_s):
    return create(deadline_s=fakes.create_clock().now_s() + left_s)


def _pause(setup, call):
    setup.clock.advance(_WAIT_S)


_EACH_KIND = pytest.mark.parametrize(
    "create", [requests.create_call, requests.create_lookup]
)


@_EACH_KIND
async def test_a_call_past_its_deadline_is_not_dispatched(create):
    call = _create_call(create, left_s=0.0)
    # It is refused before it takes a place at the gate from a call that can
    # still finish in time.
    setup = _ServingSetup(
        lambda setup, call: pytest.fail("it entered the gate")
    )
    assert await setup.serve(call) == ("not-run", "too-late", 0)


@_EACH_KIND
@pytest.mark.parametrize(
    ("left_s", "expected"),
    [
        (_WAIT_S - 0.1, ("not-run", "too-late", 0)),
        (_WAIT_S, ("not-run", "too-late", 0)),
        (_WAIT_S + 0.1, ("unknown", "too-late", 1)),
    ],
)
async def test_a_call_that_waited_past_its_deadline_is_not_dispatched(
    create, left_s, expected
):
    setup = _ServingSetup(_pause)
    assert await setup.serve(_create_call(create, left_s)) == expected


@_EACH_KIND
@pytest.mark.parametrize(
    ("crashes", "expected"),
    [(1, ("unknown", "too-late", 1)), (2, ("not-run", "quarantined", 0))],
)
async def test_crash_reports_quarantine_a_call_that_waits(
    create, crashes, expected
):
    setup = _ServingSetup(
        lambda s, call: s.transport.report_crashes(call, crashes)
    )
    assert await setup.serve(_create_call(create, left_s=60.0)) == expected
