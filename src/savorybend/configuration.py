"""The operators' library: builds a configuration and prints it as JSON.

from savorybend import configuration

site = configuration.create_site(["sapporo-a", "sapporo-b"])
site.add_service("ledger")
site.add_route(
    "adjustments", path="/ledger/adjustments", service="ledger",
    methods=["POST"], priority=0, idempotent=False,
)
site.add_client_account("maruyama", rate_per_s=50, burst=100)
site.add_key("maruyama", "maruyama-1", salt="…", hash="…")
print(site.to_json())
"""

from savorybend.internal import documents
from savorybend.internal import errors

InvalidConfigurationError = errors.InvalidConfigurationError

__all__ = ["InvalidConfigurationError", "Site", "create_site"]


class Site:
    """A site's client accounts, keys, routes, priorities and limits."""

    def __init__(self, data_centres: dict[str, float]):
        self._document = documents.Document(
            format=documents.FORMAT,
            client_accounts={},
            services={},
            routes={},
            data_centres={
                name: documents.DataCentre(share=share)
                for name, share in data_centres.items()
            },
        )

    def add_service(self, name: str, *, retries: int = 3) -> None:
        """Adds a service.

        Args:
            name: The service's name.
            retries: Maximum retries of a request that enters at this service,
                summed over all hops.
        """
        self._document["services"][name] = documents.Service(retries=retries)

    def add_route(
        self,
        name: str,
        *,
        path: str,
        service: str,
        methods: list[str] | None = None,
        priority: int = 5,
        idempotent: bool = True,
        open_to_all: bool = False,
        timeout_s: float = 5.0,
        refuse_when_older_than_s: float = 0.0,
    ) -> None:
        """Adds a route.

        Args:
            name: The route's name in logs and tables.
            path: Path prefix that matches whole segments.
            service: The service that serves the route.
            methods: HTTP methods; None for GET only.
            priority: 0 is shed last, 9 first.
            idempotent: Whether a call may be executed more than once. If not,
                callers must send a request ID.
            open_to_all: Whether callers without a key may use the route.
            timeout_s: Timeout of calls that specify none, in seconds.
            refuse_when_older_than_s: Age of the last confirmed configuration,
                in seconds, above which calls are refused; 0 never refuses.
        """
        self._document["routes"][name] = documents.Route(
            path=path,
            methods=methods or ["GET"],
            service=service,
            priority=priority,
            idempotent=idempotent,
            open=open_to_all,
            timeout_s=timeout_s,
            refuse_when_older_than_s=refuse_when_older_than_s,
        )

    def add_client_account(
        self,
        name: str,
        *,
        rate_per_s: float,
        burst: float,
        weight: float = 1.0,
    ) -> None:
        """Adds a client account.

        Args:
            name: The account's name.
            rate_per_s: Calls per second over the whole fleet.
            burst: Calls at once above the rate, over the whole fleet.
            weight: Weight relative to the other accounts when capacity is
                short.
        """
        self._document["client_accounts"][name] = documents.ClientAccount(
            keys={}, rate_per_s=rate_per_s, burst=burst, weight=weight
        )

    def add_key(
        self, client_account: str, key_id: str, *, salt: str, hash: str
    ) -> None:
        """Adds a key created by `savorybendctl key create` to a client account.

        Args:
            client_account: The account's name.
            key_id: The key's ID, unique over all accounts.
            salt: The salt, as hex.
            hash: The salted hash of the key's secret, as hex.

        Raises:
            InvalidConfigurationError: The account hasn't been added.
        """
        account = self._document["client_accounts"].get(client_account)
        if account is None:
            raise InvalidConfigurationError(
                f"$.client_accounts.{client_account}",
                "no such account: call add_client_account before add_key",
            )
        account["keys"][key_id] = documents.Key(salt=salt, hash=hash)

    def to_json(self) -> str:
        """Returns the validated configuration as JSON.

        Raises:
            InvalidConfigurationError: The configuration breaks a rule; the
                message names the path and the remedy.
        """
        documents.check(self._document)
        return documents.encode(self._document).decode()


def create_site(data_centres: list[str] | dict[str, float]) -> Site:
    """Returns a site.

    Args:
        data_centres: Names of the data centres, or a dict of their shares of
            every client account's rate, relative to one another.
    """
    if not isinstance(data_centres, dict):
        data_centres = dict.fromkeys(data_centres, 1.0)
    return Site(data_centres)
