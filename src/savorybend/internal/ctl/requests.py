"""The request commands: show the verdict on one request, or list requests."""

import datetime
import re
import time

from savorybend.internal import errors
from savorybend.internal.ctl import fleet
from savorybend.internal.ctl import reports
from savorybend.internal.ctl import tables

_AGO = re.compile(r"(\d+)([smhd])")
_UNIT_S = {"s": 1, "m": 60, "h": 3600, "d": 86400}


def parse_since_s(text: str) -> float:
    """Parses a relative or absolute time; returns seconds since 1970.

    Args:
        text: An age such as `15m` or `2h`, or an ISO 8601 date and time.

    Raises:
        ValueError: The text has neither format.
    """
    found = _AGO.fullmatch(text)
    if found:
        return time.time() - int(found[1]) * _UNIT_S[found[2]]
    try:
        return datetime.datetime.fromisoformat(text).timestamp()
    except ValueError:
        raise ValueError(
            f"{text!r} is no time: give for example 15m or 2026-01-31T08:00"
        ) from None


async def show(source: fleet.Fleet, request_id: str, as_json: bool) -> str:
    """Returns the verdict on a request with its journal entries."""
    responses = await _collect_responses(source, request_id)
    verdict = reports.describe(reports.determine_verdict(request_id, responses))
    if as_json:
        row = {
            "verdict": verdict,
            "entries": responses.entries,
            "not_reached": responses.silent,
        }
        return tables.render([row], as_json=True)
    return _format_report(request_id, verdict, responses)


async def _collect_responses(
    source: fleet.Fleet, request_id: str
) -> reports.Responses:
    records = await source.ask("daemons")
    incarnations = {row["name"]: row["incarnation"] for row in records}
    knowledge: dict[str, dict] = {}
    silent = []
    for daemon, found in await source.ask_all(f"requests/{request_id}"):
        if isinstance(found, errors.PeerUnreachableError):
            silent.append(daemon)
        elif found is not None:
            knowledge[daemon] = found
    return reports.Responses(knowledge, silent, incarnations)


async def list_all(
    source: fleet.Fleet, query: dict[str, str], as_json: bool
) -> str:
    """Returns a table of the requests that match a query, newest first."""
    rows = []
    for _, found in await source.ask_all("requests", **query):
        if not isinstance(found, list):
            continue
        for entry in found:
            if "/" in entry["request_id"] or not entry["outcome"]:
                continue
            rows.append(
                {
                    "time": _clock(entry["events"][0][0]),
                    "request_id": entry["request_id"],
                    "client_account": entry["client_account"],
                    "route": entry["route"],
                    "outcome": entry["outcome"],
                    "reason": entry["reason"],
                }
            )
    newest = sorted(_merge(rows), key=lambda r: r["time"], reverse=True)
    return tables.render(newest[: int(query["most"])], as_json)


def _merge(rows: list[dict]) -> list[dict]:
    """Returns a row per request, with the outcome of highest precedence."""
    unique: dict[str, dict] = {}
    for row in rows:
        first = unique.setdefault(row["request_id"], row)
        if reports.precedence(row["outcome"]) < reports.precedence(
            first["outcome"]
        ):
            unique[row["request_id"]] = row
    return list(unique.values())


def _format_report(
    request_id: str, verdict: str, responses: reports.Responses
) -> str:
    lines = [f"request   {request_id}"]
    named = next((e for e in responses.entries if e["client_account"]), None)
    if named:
        lines.append(f"account   {named['client_account']}")
        lines.append(f"route     {named['route']}")
    lines.append(f"outcome   {verdict}")
    events = sorted(event for e in responses.entries for event in e["events"])
    for time_s, daemon, what, detail in events:
        lines.append(f"  {_clock(time_s)}  {daemon}  {what}  {detail}".rstrip())
    for daemon in responses.silent:
        lines.append(f"  not reached: {daemon}; it may know more")
    return "\n".join(lines)


def _clock(time_s: float) -> str:
    moment = datetime.datetime.fromtimestamp(time_s, datetime.UTC)
    return moment.strftime("%Y-%m-%dT%H:%M:%S.%f")[:-3] + "Z"
