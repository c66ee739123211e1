"""Stand-in for a caller: sends calls and keeps the outcomes."""

import time
import typing

import aiohttp


class Result(typing.NamedTuple):
    """What a caller learned of a call.

    Attributes:
        status: HTTP status; 0 where no answer came.
        outcome: The stated outcome, or `none`.
        reason: The stated reason, or empty.
        request_id: The request's ID, or empty.
        body: The body.
        seconds: Time until the end of the answer.
        retry_after_s: When to come back, in seconds.
        refused: Whether there was no connection, so that nothing was sent.
    """

    status: int
    outcome: str
    reason: str
    request_id: str
    body: bytes
    seconds: float
    retry_after_s: float
    refused: bool = False


class Caller:
    """A caller with a key."""

    def __init__(self, session: aiohttp.ClientSession, key: str):
        self._session = session
        self._key = key

    async def call(
        self,
        address: str,
        path: str,
        *,
        method: str = "GET",
        headers: dict[str, str] | None = None,
        data: typing.Any = None,
        timeout_s: float | None = None,
    ) -> Result:
        """Sends one call and returns what became of it."""
        sent = dict(headers or {})
        if self._key:
            sent["Authorization"] = f"Bearer {self._key}"
        if timeout_s is not None:
            sent["Savorybend-Timeout"] = str(timeout_s)
        started = time.monotonic()
        try:
            async with self._session.request(
                method, f"http://{address}{path}", headers=sent, data=data
            ) as answer:
                body = await answer.read()
                return Result(
                    answer.status,
                    answer.headers.get("Savorybend-Outcome", "none"),
                    answer.headers.get("Savorybend-Reason", ""),
                    answer.headers.get("Savorybend-Request-Id", ""),
                    body,
                    time.monotonic() - started,
                    float(answer.headers.get("Retry-After", 0)),
                )
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            seconds = time.monotonic() - started
            refused = isinstance(error, aiohttp.ClientConnectorError)
            return Result(0, "none", "", "", b"", seconds, 0.0, refused)

    async def take_ids(self, address: str, count: int) -> list[str]:
        """Returns new request IDs from a daemon."""
        url = f"http://{address}/savorybend/v1/request-ids?count={count}"
        headers = {"Authorization": f"Bearer {self._key}"}
        async with self._session.get(url, headers=headers) as answer:
            answer.raise_for_status()
            return (await answer.json())["request_ids"]
