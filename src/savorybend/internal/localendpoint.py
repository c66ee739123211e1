"""HTTP endpoint for this VM's backend server.

It takes announcements, load reports, drain requests and child calls.
"""

import itertools

import msgspec
from aiohttp import web

from savorybend.internal import backendserver
from savorybend.internal import httpserver
from savorybend.internal import ingress
from savorybend.internal import logs

_BACKEND_PATH = "/savorybend/v1/backend"
_LOAD_PATH = "/savorybend/v1/backend/load"
_DRAIN_PATH = "/savorybend/v1/backend/drain"
_LARGEST_BYTES = 65_536

_log = logs.get()


class LocalEndpoint:
    """Handles the requests of this VM's backend server."""

    def __init__(
        self, server: backendserver.BackendServer, calls_in: ingress.Ingress
    ):
        self._server = server
        self._calls_in = calls_in
        # Requests on several connections may end in another order than they
        # began.
        self._numbers = itertools.count(1)
        self._last_drain = 0

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handles an announcement, load report, drain request or child call."""
        if not request.path.startswith("/savorybend/"):
            return await self._calls_in.handle_child(request)
        try:
            return await self._handle_own(request)
        except (msgspec.MsgspecError, RecursionError) as error:
            problem = {"error": f"{error}: send the fields the docs name"}
            return httpserver.json_answer(problem, 400)

    async def _handle_own(self, request: web.BaseRequest) -> web.Response:
        asked = (request.method, request.path)
        number = next(self._numbers)
        body = await request.content.read(_LARGEST_BYTES)
        match asked:
            case ("PUT", p) if p == _BACKEND_PATH:
                announcement = msgspec.json.decode(
                    body, type=backendserver.Announcement
                )
                self._take_announcement(announcement, number)
            case ("POST", p) if p == _LOAD_PATH:
                report = msgspec.json.decode(
                    body, type=backendserver.LoadReport
                )
                self._server.take_report(report)
            case ("POST", p) if p == _DRAIN_PATH:
                self._last_drain = max(number, self._last_drain)
                self._server.trigger("drain")
            case _:
                problem = {"error": "no such page: see docs/operators"}
                return httpserver.json_answer(problem, 404)
        return httpserver.json_answer({"state": self._server.state})

    def _take_announcement(
        self, announcement: backendserver.Announcement, number: int
    ) -> None:
        if number < self._last_drain:
            _log.info(
                "announcement_passed_over", reason="begun before the drain"
            )
            return
        self._server.take_announcement(announcement)


def create_local_endpoint(
    server: backendserver.BackendServer, calls_in: ingress.Ingress
) -> LocalEndpoint:
    """Returns the endpoint for the backend server on this VM."""
    return LocalEndpoint(server, calls_in)
