"""An ingress with daemons whose outcomes the test sets."""

import math
import typing

from savorybend.internal import timers
from savorybend.relay import admission
from savorybend.relay import allowance
from savorybend.relay import callerconnection
from savorybend.relay import calls
from savorybend.relay import catalog
from savorybend.relay import counters
from savorybend.relay import exchanges
from savorybend.relay import forwarding
from savorybend.relay import ingress
from savorybend.relay import lender
from savorybend.relay import loadbalancer
from savorybend.relay import outcomes
from savorybend.relay import retrybudget
from savorybend.relay import servicetimes
from savorybend.relay import splitting
from tests import fakes
from tests.relay import samples

# The usual outcome.
RAN = outcomes.Ran(200, b"", b"whole")


class _Codec:
    """Decodes requests from the plain headers that tests set."""

    def decode(self, exchange):
        found = dict(exchange.headers)
        return calls.Incoming(
            request_id=found.get(b"id", b"r").decode(),
            method=exchange.method,
            target=exchange.target,
            host="shop.example",
            left_s=float(found.get(b"left", b"5")),
            key=found.get(b"key", b"").decode(),
            head=b"",
            body=exchange.body,
        )

    def added_headers(self, client_account):
        return b""

    def refusal_head(self, request_id, retry_after_s):
        return b"Retry-After: %.3f\r\n" % retry_after_s


class Exchange(exchanges.Exchange):
    def __init__(self, **headers):
        super().__init__(
            typing.cast(callerconnection.CallerConnection, _Connection())
        )
        self.method = b"GET"
        self.target = b"/stock/1"
        self.headers = [
            (name.encode(), value) for name, value in headers.items()
        ]

    @property
    def status(self):
        return int(self.answer.split()[1]) if self.answered else None


class _Connection:
    closing = False

    def flush(self):
        pass


class Target:
    """A daemon with a fixed outcome; without one, calls stay pending."""

    def __init__(self, outcome=None):
        self.outcome = outcome
        self.given = []
        self.handles = []

    def submit(self, call, callback):
        handle = samples.CancelHandle()
        self.given.append((call, callback))
        self.handles.append(handle)
        if self.outcome is not None:
            callback(self.outcome)
        return handle


class _LoadBalancer:
    """Chooses daemons in a fixed order."""

    def __init__(self, names):
        self.names = names
        self.part = admission.FULL_SHARE

    def choose(self, call, tried):
        for name in self.names:
            if name not in tried:
                return loadbalancer.Candidate(name, True, 10, False, None)
        return loadbalancer.NO_DAEMON

    def share(self, service, route):
        return outcomes.Share(self.part, service)

    def record_dispatch(self, daemon):
        pass

    def record_outcome(self, daemon, outcome):
        pass

    def record_latency(self, daemon, route, took_s):
        pass


class Harness:
    def __init__(self, targets, idempotent=True, rate_per_s=0.0, reserve=5.0):
        self.clock = fakes.create_clock()
        self.timers = timers.create_manual_timer_service(self.clock)
        self.targets = targets
        self.parents = {}
        self.takes_calls = True
        self.work_ends_s = math.inf
        route = samples.route(idempotent=idempotent)
        open_route = samples.route(
            name="open", prefix="/open/", open_to_all=True, priority=2
        )
        account = calls.ClientAccount("maruyama", None, rate_per_s, rate_per_s)
        configuration = calls.Configuration(
            version=3,
            routes={"shop.example": (route, open_route)},
            accounts={"maruyama": account},
            keys={"k": "maruyama"},
            max_connections={},
            limits=calls.CallerLimits(),
            document=b"",
        )
        self.catalog = catalog.create_catalog(lambda document: configuration)
        self.catalog.offer(b"", "test")
        self.load_balancer = _LoadBalancer(list(targets))
        self.lender = lender.create_lender(self.clock)
        self.lender_answers = True
        self.allowance = allowance.create_allowance(
            allowance.Parts(self.clock, lambda: 1, self._ask_lender)
        )
        self.callees = admission.create_callees(
            self.clock, self.load_balancer.share
        )
        self.ingress = ingress.create_ingress(
            forwarding.Parts(
                codec=_Codec(),
                catalog=self.catalog,
                allowance=self.allowance,
                load_balancer=typing.cast(
                    loadbalancer.LoadBalancer, self.load_balancer
                ),
                target=self.targets.__getitem__,
                budget=retrybudget.create_retry_budget(
                    retrybudget.Terms(0.0, reserve, 100.0, 10.0),
                    retrybudget.Parts(self.clock, lambda: 1, lambda: 0.5),
                ),
                callees=self.callees,
                admission=admission.create_admission(
                    self.clock, self.load_balancer.share
                ),
                running=self.parents.get,
                split=splitting.create_split(),
                counters=counters.create_counters(),
                timers=self.timers,
                random_fraction=lambda: 0.5,
                takes_calls=lambda: self.takes_calls,
                work_ends_s=lambda: self.work_ends_s,
                route_times=servicetimes.ServiceTimes(),
            )
        )

    def _ask_lender(self, need):
        if self.lender_answers:
            accounts = self.catalog.current.accounts
            self.allowance.borrow(self.lender.lend("me", need, accounts, 1))

    def send(self, **headers):
        headers.setdefault("key", b"k")
        exchange = Exchange(**headers)
        self.ingress.handle(exchange)
        return exchange

    def wait(self, seconds):
        self.clock.advance(seconds)
        self.timers.run_due()
