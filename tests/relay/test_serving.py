"""Tests of the calls that are sent to the local backend server."""

from savorybend.relay import backend
from savorybend.relay import capacity
from savorybend.relay import outcomes
from savorybend.relay import serving
from tests import fakes
from tests.relay import samples


class _Pool:
    """Notes dispatched calls; the test answers them."""

    def __init__(self):
        self.dispatched = []

    def dispatch(self, call, instance, callback):
        self.dispatched.append((call.request_id, callback))


class _Suspects:
    """Holds all requests, or none."""

    def __init__(self):
        self.holds = False

    def note_crash(self, request, crash, instance):
        pass

    def held(self, request):
        return self.holds

    def begin(self, request):
        return None

    def note_answer(self, request, permit, status):
        pass


class _Watchdog:
    """Counts checks, which never end."""

    def __init__(self):
        self.checks = 0

    def check(self, callback):
        self.checks += 1


class _Daemon:
    """The serving side of a daemon and what became of its calls."""

    def __init__(self, slots):
        clock = fakes.create_clock()
        self.pool, self.suspects = _Pool(), _Suspects()
        self.watchdog = _Watchdog()
        self.outcomes = {}
        self.server = backend.BackendServer(
            samples.BACKEND_ADDRESS, 1.0, clock, lambda: None
        )
        estimator = capacity.create_capacity_estimator(clock)
        self._serving = serving.create_serving(
            serving.Parts(
                server=self.server,
                pool=self.pool,
                call_queue=samples.call_queue(clock, estimator),
                suspects=self.suspects,
                watchdog=self.watchdog,
                clock=clock,
                takes_calls=lambda: True,
            )
        )
        self.announce(slots=slots)

    def announce(self, **fields):
        self.server.announce(samples.announcement(**fields))
        self._serving.on_server_change()

    def submit(self, name):
        self._serving.submit(
            samples.call(request_id=name),
            lambda outcome: self.outcomes.update({name: outcome}),
        )


def test_a_call_that_waited_is_not_sent_if_its_content_is_held_by_then():
    daemon = _Daemon(slots=1)
    daemon.submit("first")
    daemon.submit("waits")
    daemon.suspects.holds = True
    [(_, answer)] = daemon.pool.dispatched
    answer(outcomes.Ran(200, b"", b""))
    assert len(daemon.pool.dispatched) == 1
    assert daemon.outcomes["waits"].reason == outcomes.QUARANTINED


def test_queued_calls_are_not_sent_to_a_server_of_another_service():
    # It had got the address of one that fell silent, and ran them.
    daemon = _Daemon(slots=1)
    daemon.submit("first")
    daemon.submit("waits")
    daemon.announce(slots=8, service="other", instance="i-2", born_ms=2000)
    assert len(daemon.pool.dispatched) == 1
    assert daemon.outcomes["waits"].reason == outcomes.NO_BACKEND_SERVER


def test_queued_calls_are_not_sent_after_an_unnoticed_change_of_service():
    daemon = _Daemon(slots=1)
    daemon.submit("first")
    daemon.submit("waits")
    daemon.server.announce(
        samples.announcement(slots=1, service="other", sequence=9)
    )
    [(_, answer)] = daemon.pool.dispatched
    answer(outcomes.Ran(200, b"", b""))
    assert len(daemon.pool.dispatched) == 1
    assert daemon.outcomes["waits"].reason == outcomes.NO_BACKEND_SERVER


def test_queued_calls_are_sent_to_the_next_server_of_their_service():
    daemon = _Daemon(slots=1)
    daemon.submit("first")
    daemon.submit("waits")
    daemon.announce(slots=8, instance="i-2", born_ms=2000)
    assert len(daemon.pool.dispatched) == 2


def test_calls_that_one_crash_broke_are_checked_together():
    daemon = _Daemon(slots=8)
    for name in "abc":
        daemon.submit(name)
    for _, answer in daemon.pool.dispatched:
        answer(outcomes.Lost(outcomes.BACKEND_SERVER_LOST))
    assert daemon.watchdog.checks == 1
