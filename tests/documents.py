"""Configurations that tests use."""

from savorybend import configuration
from savorybend.internal import keys

MARUYAMA = keys.from_secret("maruyama-1", "m" * 32)
OTARU = keys.from_secret("otaru-1", "o" * 32)


def create_site(
    data_centres: tuple[str, ...] = ("east", "west"),
) -> configuration.Site:
    """Returns a site of three services, front, middle and back."""
    site = configuration.create_site(list(data_centres))
    for service in ("front", "middle", "back"):
        site.add_service(service)
        site.add_route(service, path=f"/{service}", service=service)
    site.add_route(
        "adjust",
        path="/back/adjust",
        service="back",
        methods=["POST"],
        priority=0,
        idempotent=False,
    )
    site.add_route(
        "order",
        path="/front/order",
        service="front",
        methods=["POST"],
        idempotent=False,
    )
    site.add_route(
        "photos", path="/back/photos", service="back", methods=["GET", "PUT"]
    )
    site.add_route(
        "public", path="/back/public", service="back", open_to_all=True
    )
    for account, key in (("maruyama", MARUYAMA), ("otaru", OTARU)):
        site.add_client_account(account, rate_per_s=10_000, burst=10_000)
        site.add_key(account, key.key_id, **key.stored)
    return site
