"""What the backend server must not have any more is not given to it."""

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
    """Hands on the news of deaths."""

    def __init__(self):
        self.handlers = {}

    def subscribe(self, kind, handler):
        self.handlers[kind] = handler

    def tell_of_deaths(self, call, count):
        fingerprint = fingerprints.of_content(call, bodies.EMPTY)
        for number in range(count):
            message = wire.Death(fingerprint, number)
            self.handlers[wire.Death]("m2", message)


class _Session:
    """Counts what would have reached the backend server."""

    def __init__(self):
        self.sent = 0

    async def request(self, *arguments, **options):
        self.sent += 1
        raise TimeoutError


class _SlowGate:
    """A gate where something happens while a call waits."""

    def __init__(self, gate, happens):
        self._gate = gate
        self._happens = happens

    def __getattr__(self, name):
        return getattr(self._gate, name)

    async def enter(self, call):
        ticket = await self._gate.enter(call)
        self._happens(call)
        return ticket


class _Stage:
    """A serving side whose backend server only counts."""

    def __init__(self, happens=lambda stage, call: None):
        self.clock = fakes.create_clock()
        self.session, self.transport = _Session(), _Transport()
        gate = concurrency.create_gate(
            timers.create_manual_timer_service(self.clock)
        )
        directory = members.create_directory(fakes.create_record("m1"))
        server = backendserver.create_backend_server(gate)
        server.take_announcement({"address": "127.0.0.1:1", "slots": 4})
        self.gate = _SlowGate(gate, lambda call: happens(self, call))
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


def _pause(stage, call):
    stage.clock.advance(_WAIT_S)


_KINDS = pytest.mark.parametrize(
    "create", [requests.create_call, requests.create_lookup]
)


@_KINDS
async def test_a_call_past_its_deadline_is_not_begun(create):
    call = _create_call(create, left_s=0.0)
    # Before it takes a place at the gate from one that can be in time.
    stage = _Stage(lambda stage, call: pytest.fail("it entered the gate"))
    assert await stage.serve(call) == ("not-run", "too-late", 0)


@_KINDS
@pytest.mark.parametrize(
    ("left_s", "told"),
    [
        (_WAIT_S - 0.1, ("not-run", "too-late", 0)),
        (_WAIT_S, ("not-run", "too-late", 0)),
        (_WAIT_S + 0.1, ("unknown", "too-late", 1)),
    ],
)
async def test_a_call_that_waited_past_its_deadline_is_not_begun(
    create, left_s, told
):
    stage = _Stage(_pause)
    assert await stage.serve(_create_call(create, left_s)) == told


@_KINDS
@pytest.mark.parametrize(
    ("deaths", "told"),
    [(1, ("unknown", "too-late", 1)), (2, ("not-run", "quarantined", 0))],
)
async def test_news_of_deaths_holds_back_a_call_that_waited(
    create, deaths, told
):
    stage = _Stage(lambda s, call: s.transport.tell_of_deaths(call, deaths))
    assert await stage.serve(_create_call(create, left_s=60.0)) == told
