"""Asks daemons, for the command line."""

import asyncio
import typing
import urllib.parse

import aiohttp
import msgspec

from savorybend.internal import errors

_TIMEOUT_S = 5.0


class Fleet:
    """The daemons, found through any one of them."""

    def __init__(
        self, session: aiohttp.ClientSession, address: str, admin_key: str
    ):
        self._session = session
        self._address = address
        self._headers = {"Authorization": f"Bearer {admin_key}"}

    async def ask(
        self, page: str, address: str | None = None, **query: str
    ) -> typing.Any:
        """Returns a page of one daemon; None where it has no such thing.

        Raises:
            errors.PeerUnreachableError: The daemon gave no usable answer.
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
        """Returns each daemon's page, with None for those without one.

        A daemon that can't be reached answers with the error.
        """
        daemons = await self.ask("daemons")

        async def one(record: dict) -> tuple[str, typing.Any]:
            try:
                found = await self.ask(page, record["admin_address"], **query)
            except errors.PeerUnreachableError as error:
                return record["name"], error
            return record["name"], found

        return list(await asyncio.gather(*(one(r) for r in daemons)))
