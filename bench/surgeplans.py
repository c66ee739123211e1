"""Both deployments, scaled down until one machine can overload them."""

import typing

from examples import deployments
from examples.directorate import deployment as directorate
from examples.kitakaze import deployment as kitakaze
from standins import site as sites

# Work takes so much longer than in the deployments that the stand-ins' own
# processor time doesn't count.
_WORK_FACTOR = 10.0
_WORKERS = 2
SLOWER = 5.0
SURGE_FACTOR = 3.0


class Ask(typing.NamedTuple):
    """A kind of request.

    Attributes:
        route: Name of its route.
        method: HTTP method.
        path: Path.
        service: Service that answers.
        part: Its part of all requests.
        priority: Its class.
        timeout_s: How long a caller waits, in seconds, tries included.
        deep: Whether it needs the service that is slowed.
        idempotent: Whether it may run more than once.
    """

    route: str
    method: str
    path: str
    service: str
    part: float
    priority: int
    timeout_s: float
    deep: bool
    idempotent: bool = True


class Plan(typing.NamedTuple):
    """A deployment as it is run.

    Attributes:
        deployment: The deployment.
        deep_service: The service that is slowed.
        slots: Slots of each backend server, by service.
        asks: What is asked for.
        rate_per_s: Requests a second before the surge.
    """

    deployment: deployments.Deployment
    deep_service: str
    slots: dict[str, int]
    asks: tuple[Ask, ...]
    rate_per_s: float

    def workers(self) -> list[sites.Worker]:
        """Returns the workers, each service's in different data centres."""
        centres = self.deployment.data_centres
        return [
            sites.Worker(
                f"{centres[number]}-{service.name}-{number + 1}",
                centres[number],
                service.name,
                self.slots[service.name],
                service.work_ms * _WORK_FACTOR,
                service.children,
            )
            for service in self.deployment.services
            for number in range(_WORKERS)
        ]

    def capacity_per_s(self) -> float:
        """Returns the whole requests a second that a surge leaves room for.

        Requests that don't need the slowed service have room enough; the
        others share its slots.
        """
        demand = self.rate_per_s * SURGE_FACTOR
        deep = demand * sum(ask.part for ask in self.asks if ask.deep)
        return demand - deep + min(deep, self.deep_per_s())

    def deep_per_s(self) -> float:
        """Returns the calls a second that the slowed service can answer."""
        (work_ms,) = (
            service.work_ms
            for service in self.deployment.services
            if service.name == self.deep_service
        )
        seconds = work_ms * _WORK_FACTOR * SLOWER / 1000
        return self.slots[self.deep_service] * _WORKERS / seconds

    def account_parts(self) -> dict[str, float]:
        """Returns each client account's part of all requests."""
        accounts = self.deployment.client_accounts
        total = sum(account.rate_per_s for account in accounts)
        return {one.name: one.rate_per_s / total for one in accounts}


KITAKAZE = Plan(
    kitakaze.DEPLOYMENT,
    "history",
    {"history": 6, "ledger": 14, "gallery": 4, "shelfcount": 8},
    (
        Ask(
            "live-count",
            "GET",
            "/shelfcount/counts/a",
            "shelfcount",
            0.12,
            0,
            2.0,
            True,
        ),
        Ask(
            "adjustment",
            "POST",
            "/ledger/adjustments",
            "ledger",
            0.13,
            0,
            5.0,
            True,
            False,
        ),
        Ask(
            "shelf-lookup",
            "GET",
            "/ledger/stock",
            "ledger",
            0.30,
            3,
            5.0,
            True,
        ),
        Ask("moves", "GET", "/history/moves", "history", 0.20, 5, 5.0, True),
        Ask(
            "morning-totals",
            "GET",
            "/history/totals",
            "history",
            0.10,
            6,
            20.0,
            True,
        ),
        Ask(
            "photos", "GET", "/gallery/photos", "gallery", 0.10, 7, 20.0, False
        ),
        Ask(
            "opening-hours",
            "GET",
            "/history/opening-hours",
            "history",
            0.05,
            8,
            5.0,
            True,
        ),
    ),
    60.0,
)

DIRECTORATE = Plan(
    directorate.DEPLOYMENT,
    "tracker",
    {"slots": 12, "bookings": 10, "evidence": 4, "tracker": 4},
    (
        Ask(
            "booking",
            "POST",
            "/bookings/visits",
            "bookings",
            0.20,
            0,
            5.0,
            True,
            False,
        ),
        Ask("free-slots", "GET", "/slots/free", "slots", 0.30, 2, 5.0, True),
        Ask(
            "visit-status",
            "GET",
            "/tracker/visits",
            "tracker",
            0.15,
            3,
            5.0,
            True,
        ),
        Ask("roster", "GET", "/tracker/roster", "tracker", 0.15, 4, 5.0, True),
        Ask(
            "technicians",
            "GET",
            "/slots/technicians",
            "slots",
            0.10,
            6,
            5.0,
            False,
        ),
        Ask(
            "photos",
            "GET",
            "/evidence/photos",
            "evidence",
            0.10,
            7,
            20.0,
            False,
        ),
    ),
    60.0,
)

PLANS = {"kitakaze": KITAKAZE, "directorate": DIRECTORATE}
