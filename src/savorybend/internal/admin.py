"""Pages for operators and their tools: health, metrics and state."""

import collections.abc
import hmac
import typing

import msgspec
from aiohttp import web

from savorybend.internal import configstore
from savorybend.internal import headers
from savorybend.internal import httpserver
from savorybend.internal import joining
from savorybend.internal import limits
from savorybend.internal import members
from savorybend.internal import metrics
from savorybend.internal import requestpages

_PREFIX = "/v1/"


class Status(msgspec.Struct):
    """How a daemon stands."""

    name: str
    state: str
    backend_server: str
    configuration_version: int
    configuration_age_s: float
    in_flight: int
    in_use: int
    waiting: int
    limit: int


class Parts(typing.NamedTuple):
    """What the pages show."""

    key: str
    configuration: configstore.Store
    directory: members.Directory
    requests: requestpages.RequestPages
    limiter: limits.Limiter
    status: collections.abc.Callable[[], Status]
    ready: collections.abc.Callable[[], bool]
    join: httpserver.Handler


class Pages:
    """Answers operators."""

    def __init__(self, parts: Parts):
        self._parts = parts

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers a request for a page."""
        match request.path:
            case "/metrics":
                return self._metrics()
            case "/live":
                return httpserver.json_answer({"live": True})
            case "/ready":
                ready = self._parts.ready()
                status = 200 if ready else 503
                return httpserver.json_answer({"ready": ready}, status)
            case joining.PATH:
                return await self._parts.join(request)
        if not request.path.startswith(_PREFIX):
            return httpserver.json_answer({"error": "no such page"}, 404)
        if not self._allowed(request):
            problem = {"error": "wrong admin key: set SAVORYBEND_ADMIN_KEY"}
            return httpserver.json_answer(problem, 401)
        return self._page(request)

    def _allowed(self, request: web.BaseRequest) -> bool:
        given = headers.parse_bearer(
            request.headers.get(headers.AUTHORIZATION, "")
        )
        return hmac.compare_digest(given.encode(), self._parts.key.encode())

    def _page(self, request: web.BaseRequest) -> web.Response:
        page, _, rest = request.path.removeprefix(_PREFIX).partition("/")
        match page:
            case "status":
                return httpserver.json_answer(self._parts.status())
            case "daemons":
                return self._daemons()
            case "routes":
                return self._routes()
            case "limits":
                return self._limits()
            case "requests" if rest:
                return self._parts.requests.show(rest)
            case "requests":
                return self._parts.requests.find(request)
        return httpserver.json_answer({"error": "no such page"}, 404)

    def _metrics(self) -> web.Response:
        age_s = self._parts.configuration.age_s
        metrics.CONFIGURATION_AGE_S.set(age_s)
        return web.Response(
            body=metrics.render(), content_type="text/plain", charset="utf-8"
        )

    def _daemons(self) -> web.Response:
        records = sorted(
            self._parts.directory.all(), key=lambda record: record.name
        )
        found = [msgspec.structs.asdict(record) for record in records]
        return httpserver.json_answer(found)

    def _routes(self) -> web.Response:
        current = self._parts.configuration.in_force
        routes = current.document["routes"] if current else {}
        found = [{"name": name, **route} for name, route in routes.items()]
        return httpserver.json_answer(found)

    def _limits(self) -> web.Response:
        states = self._parts.limiter.states()
        return httpserver.json_answer([state._asdict() for state in states])


def create_pages(parts: Parts) -> Pages:
    """Returns the pages of a daemon."""
    return Pages(parts)
