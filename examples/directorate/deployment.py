"""The Directorate's services, client accounts and routes of today."""

from examples import deployments
from savorybend import configuration


def _add_routes(site: configuration.Site) -> None:
    site.add_route(
        "booking",
        path="/bookings/visits",
        service="bookings",
        methods=["POST"],
        priority=0,
        idempotent=False,
        timeout_s=5.0,
    )
    site.add_route(
        "free-slots", path="/slots/free", service="slots", priority=2
    )
    site.add_route(
        "visit-status", path="/tracker/visits", service="tracker", priority=3
    )
    site.add_route(
        "roster", path="/tracker/roster", service="tracker", priority=4
    )
    site.add_route(
        "photos",
        path="/evidence/photos",
        service="evidence",
        methods=["GET", "PUT"],
        priority=7,
        timeout_s=60.0,
    )
    site.add_route(
        "technicians",
        path="/slots/technicians",
        service="slots",
        priority=6,
        open_to_all=True,
    )


DEPLOYMENT = deployments.Deployment(
    name="directorate",
    data_centres=("seeb", "bawshar", "muttrah"),
    services=(
        deployments.Service(
            "slots", 5, 110, 800, 4.0, ("/slots/free=GET:/tracker/roster",)
        ),
        deployments.Service(
            "bookings", 3, 190, 1250, 6.0, ("/bookings=GET:/slots/free",)
        ),
        deployments.Service("evidence", 3, 190, 1250, 10.0),
        deployments.Service("tracker", 3, 60, 450, 3.0),
    ),
    client_accounts=(
        deployments.ClientAccount("households", 500, 1000),
        deployments.ClientAccount("call-centre", 200, 400),
        deployments.ClientAccount("rosters", 150, 300),
        deployments.ClientAccount("parts", 100, 200),
        deployments.ClientAccount("inspectors", 60, 120),
        deployments.ClientAccount("landlords", 40, 80),
        deployments.ClientAccount("embassies", 20, 40),
        deployments.ClientAccount("archive", 10, 20),
    ),
    add_routes=_add_routes,
)
