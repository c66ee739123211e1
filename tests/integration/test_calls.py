"""Calls from a caller to the backend server and back, on real processes."""

import hashlib
import json

import pytest

from standins import caller as callers
from tests import documents

pytestmark = pytest.mark.asyncio(loop_scope="module")

_PHOTO_BATCH_BYTES = 64 * 1024 * 1024

_KEY = {"Authorization": f"Bearer {documents.MARUYAMA.text}"}
# Each row: the defect, then method, path, headers, status, reason.
_MALFORMED_REQUESTS = (
    ("no key", "GET", "/back", {}, 401, "key-missing"),
    (
        "wrong key",
        "GET",
        "/back",
        {"Authorization": "Bearer maruyama-1.wrong"},
        401,
        "key-unknown",
    ),
    (
        "no bearer",
        "GET",
        "/back",
        {"Authorization": "Basic abc"},
        401,
        "key-missing",
    ),
    (
        "timeout not a number",
        "GET",
        "/back",
        {**_KEY, "Savorybend-Timeout": "soon"},
        400,
        "header-invalid",
    ),
    (
        "timeout not finite",
        "GET",
        "/back",
        {**_KEY, "Savorybend-Timeout": "nan"},
        400,
        "header-invalid",
    ),
    (
        "timeout below zero",
        "GET",
        "/back",
        {**_KEY, "Savorybend-Timeout": "-1"},
        400,
        "header-invalid",
    ),
    ("unknown path", "GET", "/nowhere", _KEY, 404, "route-unknown"),
    ("unknown method", "DELETE", "/back", _KEY, 404, "route-unknown"),
    (
        "oversized header",
        "GET",
        "/back",
        {**_KEY, "X-Large": "x" * 8000},
        400,
        "request-invalid",
    ),
    ("no request ID", "POST", "/back/adjust", _KEY, 428, "request-id-missing"),
    (
        "malformed request ID",
        "POST",
        "/back/adjust",
        {**_KEY, "Savorybend-Request-Id": "mine"},
        400,
        "request-id-invalid",
    ),
    (
        "a child's request ID",
        "POST",
        "/back/adjust",
        {**_KEY, "Savorybend-Request-Id": "back-1.1.1/1"},
        400,
        "request-id-invalid",
    ),
)


@pytest.mark.parametrize(
    "row", _MALFORMED_REQUESTS, ids=[row[0] for row in _MALFORMED_REQUESTS]
)
async def test_a_malformed_request_is_refused_and_the_daemon_keeps_serving(
    chain, maruyama, row
):
    _, method, path, headers, status, reason = row
    address = chain.addresses["back-1"].call
    keyless_caller = callers.Caller(chain.session, "")
    refused = await keyless_caller.call(
        address, path, method=method, headers=headers
    )
    assert (refused.status, refused.outcome) == (status, "not-run")
    assert refused.reason == reason
    assert (await maruyama.call(address, "/back")).outcome == "ran"


async def test_a_call_runs_three_services_deep(chain, maruyama):
    result = await maruyama.call(chain.addresses["front-1"].call, "/front/x")
    assert result.outcome == "ran"
    answer = json.loads(result.body)
    assert answer["request_id"] == result.request_id
    assert answer["children"][0]["outcome"] == "ran"
    record = await chain.record("back-1")
    assert f"{result.request_id}/1/1" in record["runs"]


async def test_a_call_may_enter_at_any_daemon(chain, maruyama):
    result = await maruyama.call(chain.addresses["front-1"].call, "/back/x")
    assert result.outcome == "ran"
    assert json.loads(result.body)["service"] == "back"


async def test_a_route_open_to_all_needs_no_key(chain):
    keyless_caller = callers.Caller(chain.session, "")
    address = chain.addresses["back-1"].call
    result = await keyless_caller.call(address, "/back/public/x")
    assert result.outcome == "ran"


async def test_keys_are_not_passed_to_backend_servers(chain, maruyama):
    await maruyama.call(chain.addresses["front-1"].call, "/front/x")
    for name in chain.workers:
        record = await chain.record(name)
        assert record["header_names"]
        assert "authorization" not in record["header_names"]
        assert record["secrets_seen"] == 0


@pytest.mark.parametrize("entry", ["back-1", "front-1"])
async def test_a_large_request_body_arrives_intact(chain, maruyama, entry):
    data = b"photo-01" * (_PHOTO_BATCH_BYTES // 8)
    result = await maruyama.call(
        chain.addresses[entry].call, "/back/photos/x", method="PUT", data=data
    )
    assert result.outcome == "ran"
    answer = json.loads(result.body)
    assert answer["body_bytes"] == _PHOTO_BATCH_BYTES
    assert answer["body_sha256"] == hashlib.sha256(data).hexdigest()


@pytest.mark.parametrize("entry", ["back-1", "front-1"])
async def test_a_large_answer_body_arrives_intact(chain, maruyama, entry):
    result = await maruyama.call(
        chain.addresses[entry].call,
        "/back/photos/x",
        headers={"X-Answer-Bytes": str(_PHOTO_BATCH_BYTES)},
    )
    assert result.outcome == "ran"
    assert len(result.body) == _PHOTO_BATCH_BYTES


async def test_an_unknown_handle_is_refused(chain):
    keyless_caller = callers.Caller(chain.session, "")
    result = await keyless_caller.call(
        chain.addresses["back-1"].local,
        "/back",
        headers={"Savorybend-Handle": "0" * 32},
    )
    assert (result.status, result.reason) == (401, "handle-unknown")
