"""What the example deployments are described with."""

import argparse
import json
import pathlib
import typing

from savorybend import configuration


class Service(typing.NamedTuple):
    """A service of today.

    Attributes:
        name: Its name.
        workers: Its backend servers.
        slots: Calls that each works on at once, about.
        connections: Connections that each takes, about.
        work_ms: How long a call takes without load, in milliseconds; used by
            the stand-ins.
        children: What it calls: `PREFIX=METHOD:PATH`.
    """

    name: str
    workers: int
    slots: int
    connections: int
    work_ms: float
    children: tuple[str, ...] = ()


class ClientAccount(typing.NamedTuple):
    """A client account of today; see `configuration`."""

    name: str
    rate_per_s: float
    burst: float


class Deployment(typing.NamedTuple):
    """A user's deployment.

    Attributes:
        name: Its name.
        data_centres: Their names.
        services: Its services.
        client_accounts: Its client accounts.
        add_routes: Adds its routes to a site.
    """

    name: str
    data_centres: tuple[str, ...]
    services: tuple[Service, ...]
    client_accounts: tuple[ClientAccount, ...]
    add_routes: typing.Callable[[configuration.Site], None]


class StoredKey(typing.TypedDict):
    """A key as the configuration holds it."""

    salt: str
    hash: str


def describe(
    deployment: Deployment, keys: dict[str, StoredKey]
) -> configuration.Site:
    """Returns a deployment's configuration.

    Args:
        deployment: The deployment.
        keys: One stored key for each client account, by the account's name.
    """
    site = configuration.create_site(list(deployment.data_centres))
    for service in deployment.services:
        site.add_service(service.name)
    deployment.add_routes(site)
    for account in deployment.client_accounts:
        site.add_client_account(
            account.name, rate_per_s=account.rate_per_s, burst=account.burst
        )
        key = keys[account.name]
        site.add_key(account.name, f"{account.name}-1", **key)
    return site


def print_configuration(deployment: Deployment, description: str) -> None:
    """Prints a deployment's configuration, as its program's arguments say."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument(
        "keys",
        type=pathlib.Path,
        help="JSON: each client account's salt and hash from 'key create'",
    )
    keys = json.loads(parser.parse_args().keys.read_text())
    print(describe(deployment, keys).to_json())
