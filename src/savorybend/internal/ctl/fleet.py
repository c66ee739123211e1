"""Client of the daemons' admin API."""

import asyncio
import typing
import urllib.parse

import aiohttp
import msgspec

from savorybend.internal import errors

_TIMEOUT_S = 5.0


class Fleet:
    """Client of all daemons, discovered through any one of them."""

    def __init__(
        self, session: aiohttp.ClientSession, address: str, admin_key: str
    ):
        self._session = session
        self._address = address
        self._headers = {"Authorization": f"Bearer {admin_key}"}

    async def ask(
        self, page: str, address: str | None = None, **query: str
    ) -> typing.Any:
        """Returns a decoded JSON resource of one daemon; None for status 404.

        Args:
            page: Path of the resource below `/v1/`.
            address: The daemon's admin address; None for the default one.
            **query: Query parameters.

        Raises:
            errors.PeerUnreachableError: The daemon could not be reached, or
                answered with another status than 200 and 404.
        """
        address = address or self._address
        text = urllib.parse.urlencode(query)
        url = f"http://{address}/v1/{page}?{text}"
        try:
            async with self._session.get(
                url,
                headers=self._headers,
                timeout=aiohttp.ClientTimeout(total=_TIMEOUT_S),
            ) as response:
                body = await response.read()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise errors.PeerUnreachableError(
                f"the daemon at {address} gave no answer "
                f"({type(error).__name__}): name another with --daemon"
            ) from error
        if response.status == 404:
            return None
        if response.status != 200:
            raise errors.PeerUnreachableError(
                f"the daemon at {address} answered {response.status}: "
                f"{body[:200].decode(errors='replace')}"
            )
        return msgspec.json.decode(body)

    async def ask_all(
        self, page: str, **query: str
    ) -> list[tuple[str, typing.Any]]:
        """Fetches a resource from every daemon concurrently.

        Returns:
            For each daemon its name and the resource, None for status 404, or
            the PeerUnreachableError if the daemon could not be reached.
        """
        daemons = await self.ask("daemons")

        async def fetch_one(record: dict) -> tuple[str, typing.Any]:
            try:
                found = await self.ask(page, record["admin_address"], **query)
            except errors.PeerUnreachableError as error:
                return record["name"], error
            return record["name"], found

        return list(
            await asyncio.gather(*(fetch_one(record) for record in daemons))
        )
