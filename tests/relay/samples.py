"""Factories of calls, routes and daemon statements for tests."""

from savorybend.internal import timers
from savorybend.relay import backend
from savorybend.relay import callqueue
from savorybend.relay import calls
from savorybend.relay import frames

SERVICE = "ledger"
BACKEND_ADDRESS = "127.0.0.1:1"


def call(**changes):
    """Returns a call of a client account, with some fields changed."""
    made = calls.Call()
    made.request_id = "r-1"
    made.method = b"GET"
    made.target = b"/stock/1"
    made.host = "shop.example"
    made.head = b""
    made.body = b""
    made.service = SERVICE
    made.route = "stock"
    made.idempotent = True
    made.priority = 1
    made.client_account = "maruyama"
    made.deadline_s = 1005.0
    made.target_latency_s = 1.0
    for name, value in changes.items():
        setattr(made, name, value)
    return made


def route(**changes):
    """Returns a route, with some fields changed."""
    return calls.Route(
        name="stock",
        host="shop.example",
        prefix="/stock/",
        idempotent=True,
        timeout_s=5.0,
        target_latency_s=1.0,
        priority=1,
        max_attempts=2,
        open_to_all=False,
        targets=(calls.Target(SERVICE, 1.0),),
    )._replace(**changes)


def statement(daemon, **changes):
    """Returns a daemon's statement, with some fields changed."""
    fields = {
        "daemon": daemon,
        "host": "127.0.0.1",
        "port": 7000,
        "data_centre": "east",
        "service": SERVICE,
        "boot": 1,
        "serial": 1,
        "state": "ready",
        "instance": f"i-{daemon}",
        "slots": 10,
    }
    return frames.Statement(**{**fields, **changes})


def decode_configuration(document):
    """Returns an empty configuration; its first word is the version."""
    return calls.Configuration(
        version=int(document.split()[0]),
        routes={},
        accounts={},
        keys={},
        max_connections={},
        limits=calls.CallerLimits(),
        document=document,
    )


def announcement(**changes):
    """Returns an announcement by a ready backend server, with some changes."""
    fields = {
        "instance": "i-1",
        "service": SERVICE,
        "address": BACKEND_ADDRESS,
        "slots": 10,
        "draining": False,
        "born_ms": 1000,
        "sequence": 1,
        "cold_s": 0.0,
    }
    return backend.Announcement(**{**fields, **changes})


class CancelHandle:
    """Handle of a submitted call; notes whether the call was cancelled."""

    def __init__(self):
        self.cancelled = False

    def cancel(self):
        self.cancelled = True


def timer_service(clock):
    """Returns a timer service that runs with a manual clock."""
    return timers.create_manual_timer_service(clock)


def call_queue(clock, estimator, random_fraction=lambda: 0.5):
    """Returns an empty call queue."""
    return callqueue.create_call_queue(
        callqueue.Parts(timer_service(clock), random_fraction, estimator)
    )
