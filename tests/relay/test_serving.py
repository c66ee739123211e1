"""Tests of the calls that are sent to the local backend server."""

from savorybend.relay import admission
from savorybend.relay import backend
from savorybend.relay import callqueue
from savorybend.relay import outcomes
from savorybend.relay import serving
from tests import fakes
from tests.relay import samples

_ADDRESS = "127.0.0.1:1"


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


def test_a_call_that_waited_is_not_sent_if_its_content_is_held_by_then():
    clock, pool, suspects = fakes.create_clock(), _Pool(), _Suspects()
    server = backend.BackendServer(_ADDRESS, 1.0, clock, lambda: None)
    served = serving.create_serving(
        serving.Parts(
            server=server,
            pool=pool,
            call_queue=callqueue.create_call_queue(
                callqueue.Parts(
                    clock,
                    lambda: 0.5,
                    admission.create_capacity_estimator(clock),
                )
            ),
            suspects=suspects,
            watchdog=None,
            clock=clock,
            takes_calls=lambda: True,
        )
    )
    server.announce(
        backend.Announcement("i-1", "ledger", _ADDRESS, 1, False, 1, 1, 0.0)
    )
    served.on_server_change()
    found = {}
    for name in ("first", "waits"):
        served.submit(
            samples.call(request_id=name),
            lambda outcome, name=name: found.update({name: outcome}),
        )
    suspects.holds = True
    [(_, answer)] = pool.dispatched
    answer(outcomes.Ran(200, b"", b""))
    assert len(pool.dispatched) == 1
    assert found["waits"].reason == outcomes.QUARANTINED
