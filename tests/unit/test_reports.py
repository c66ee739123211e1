"""Tests of the verdict on a request, from the daemons' responses."""

import pytest

from savorybend.internal.ctl import reports

_ID = "front-1.5.1"


def _entry(outcome="", reason=""):
    return {"outcome": outcome, "reason": reason, "events": []}


def _knows(entry=None, standing="", running=False):
    return {"entry": entry, "standing": standing, "running": running}


_STARTED = _knows(_entry(), "started")
_RAN = _knows(_entry("ran"))
_REFUSED = _knows(_entry("not-run", "elsewhere"))
_DOUBT = _knows(_entry("unknown", "too-late"))
_LIMITED = _knows(_entry("not-run", "limited"), "started")

# Each row: responses of front-1, the issuer, and back-1 (None for no response),
# front-1's current incarnation, the expected verdict.
_ROWS = {
    "ran": (_STARTED, _RAN, 5, reports.Known("ran", "")),
    "ran, though its entry lost the answer": (
        _DOUBT,
        _RAN,
        5,
        reports.Known("ran", ""),
    ),
    "ran, and its issuer was lost": (None, _RAN, 6, reports.Known("ran", "")),
    "answered in part": (
        _STARTED,
        _knows(_entry("partial")),
        5,
        reports.Known("partial", ""),
    ),
    "refused by its issuer": (
        _LIMITED,
        _DOUBT,
        5,
        reports.Known("not-run", "limited"),
    ),
    "in flight": (_STARTED, _knows(running=True), 5, reports.Running()),
    "not used": (
        _knows(None, "unused"),
        _knows(),
        5,
        reports.NeverSeen("the ID was issued and not used"),
    ),
    "never issued": (
        _knows(None, "never-issued"),
        _knows(),
        5,
        reports.NeverSeen("the ID was never issued"),
    ),
    "its VM was lost": (None, _knows(), 6, reports.VmLost("front-1")),
    "refused elsewhere, and its VM was lost": (
        None,
        _REFUSED,
        None,
        reports.VmLost("front-1"),
    ),
    "its issuer is silent": (
        None,
        _knows(),
        5,
        reports.Undetermined("its issuer front-1 gave no answer"),
    ),
    "let go of": (
        _knows(None, "started"),
        _knows(),
        5,
        reports.Undetermined(
            "it was started; the journals kept newer requests"
        ),
    ),
}


@pytest.mark.parametrize("row", _ROWS.values(), ids=_ROWS)
def test_the_verdict_follows_from_the_responses(row):
    issuer, server, incarnation, verdict = row
    knowledge = {"front-1": issuer, "back-1": server}
    responses = reports.Responses(
        {name: known for name, known in knowledge.items() if known},
        [name for name, known in knowledge.items() if not known],
        {"front-1": incarnation} if incarnation else {},
    )
    assert reports.determine_verdict(_ID, responses) == verdict
