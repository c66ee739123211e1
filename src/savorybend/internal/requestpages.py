"""Pages about requests, for support engineers and their tools."""

import math
import typing

import msgspec
from aiohttp import web

from savorybend.internal import httpserver
from savorybend.internal import issuing
from savorybend.internal import journal
from savorybend.internal import records
from savorybend.internal import requestids

_MOST_ROWS = 1000


class Knowledge(msgspec.Struct):
    """What one daemon knows of a request.

    Attributes:
        entry: Its journal's entry, or None.
        standing: How the ID stands with the issuer; empty where this daemon's
            incarnation is not the issuer.
        running: Whether the request runs beside this daemon now.
    """

    entry: journal.Entry | None
    standing: str
    running: bool


class Parts(typing.NamedTuple):
    """What the pages show."""

    journal: journal.Journal
    issuer: issuing.Issuer
    records: records.Records


class RequestPages:
    """Answers what became of requests."""

    def __init__(self, parts: Parts):
        self._parts = parts

    def show(self, request_id: str) -> web.Response:
        """Returns what this daemon knows of one request."""
        record = self._parts.records.find(request_id)
        knowledge = Knowledge(
            self._parts.journal.get_entry(request_id) or None,
            self._standing(request_id),
            bool(record) and record.state == "running",
        )
        return httpserver.json_answer(knowledge)

    def find(self, request: web.BaseRequest) -> web.Response:
        """Returns the requests that a query asks for."""
        most = _number(request.query.get("most", ""), 100)
        query = journal.Query(
            request.query.get("client_account", ""),
            request.query.get("route", ""),
            _number(request.query.get("since_s", ""), 0),
            int(min(max(most, 1), _MOST_ROWS)),
        )
        return httpserver.json_answer(self._parts.journal.find(query))

    def _standing(self, request_id: str) -> str:
        parsed = requestids.parse(request_id)
        if not parsed or not self._parts.issuer.owns(parsed):
            return ""
        return self._parts.issuer.status_of(parsed).value


def _number(text: str, usual: float) -> float:
    try:
        number = float(text)
    except ValueError:
        return usual
    return number if math.isfinite(number) else usual


def create_pages(parts: Parts) -> RequestPages:
    """Returns the pages of a daemon."""
    return RequestPages(parts)
