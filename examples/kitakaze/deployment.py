"""Kitakaze's services, client accounts and routes, with today's sizes."""

from examples import deployments
from savorybend import configuration


def _add_routes(site: configuration.Site) -> None:
    site.add_route(
        "live-count",
        path="/shelfcount/counts",
        service="shelfcount",
        priority=0,
        timeout_s=2.0,
    )
    site.add_route(
        "adjustment",
        path="/ledger/adjustments",
        service="ledger",
        methods=["POST"],
        priority=0,
        idempotent=False,
        timeout_s=5.0,
    )
    site.add_route(
        "shelf-lookup", path="/ledger/stock", service="ledger", priority=3
    )
    site.add_route(
        "moves", path="/history/moves", service="history", priority=5
    )
    site.add_route(
        "morning-totals",
        path="/history/totals",
        service="history",
        priority=6,
        timeout_s=20.0,
    )
    site.add_route(
        "photos",
        path="/gallery/photos",
        service="gallery",
        methods=["GET", "PUT"],
        priority=7,
        timeout_s=60.0,
    )
    site.add_route(
        "opening-hours",
        path="/history/opening-hours",
        service="history",
        priority=8,
        open_to_all=True,
    )


DEPLOYMENT = deployments.Deployment(
    name="kitakaze",
    data_centres=("sapporo-a", "sapporo-b", "sapporo-c"),
    services=(
        deployments.Service("history", 4, 200, 1300, 4.0),
        deployments.Service(
            "ledger",
            3,
            270,
            1700,
            4.0,
            ("/ledger=GET:/history/moves",),
        ),
        deployments.Service("gallery", 3, 270, 1700, 10.0),
        deployments.Service(
            "shelfcount",
            3,
            25,
            250,
            6.0,
            ("/shelfcount=GET:/ledger/stock",),
        ),
    ),
    client_accounts=(
        deployments.ClientAccount("head-office", 400, 800),
        deployments.ClientAccount("maruyama", 300, 600),
        deployments.ClientAccount("otaru", 200, 400),
        deployments.ClientAccount("furano", 60, 120),
        deployments.ClientAccount("hakodate", 60, 120),
        deployments.ClientAccount("kushiro", 40, 80),
        deployments.ClientAccount("nemuro", 20, 40),
        deployments.ClientAccount("rishiri", 10, 20),
    ),
    add_routes=_add_routes,
)
