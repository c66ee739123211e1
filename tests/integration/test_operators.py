"""Tests of the configuration commands, with platform faults."""

import json

import pytest

from savorybend.internal.ctl import exits
from standins import site as sites
from tests import documents

pytestmark = pytest.mark.asyncio


def _document(rate_per_s: float) -> bytes:
    site = documents.create_site()
    site.add_client_account("nemuro", rate_per_s=rate_per_s, burst=1)
    return site.to_json().encode()


async def _submit(site, document: bytes, *options: str):
    return await site.ctl("config", "submit", "-", *options, stdin=document)


async def test_a_document_is_submitted_and_shown_as_it_was():
    async with sites.create_site() as site:
        code, output = await _submit(site, _document(1))
        assert (code, output) == (exits.OK, "submitted: version 1\n")
        code, output = await site.ctl("config", "show")
        assert code == exits.OK
        shown = output.partition("\n")[2]
        assert json.loads(shown) == json.loads(_document(1))


async def test_the_same_document_again_changes_nothing():
    async with sites.create_site() as site:
        await _submit(site, _document(1))
        code, output = await _submit(site, _document(1))
        assert code == exits.OK
        assert "no change: version 1" in output


async def test_a_broken_document_is_refused_with_its_path():
    async with sites.create_site() as site:
        broken = json.loads(_document(1))
        broken["routes"]["front"]["service"] = "none"
        code, output = await _submit(site, json.dumps(broken).encode())
        assert code == exits.INVALID
        assert "$.routes.front.service" in output


async def test_a_slower_operator_is_told_what_changed():
    async with sites.create_site() as site:
        await _submit(site, _document(1))
        await _submit(site, _document(2))
        code, output = await _submit(site, _document(3), "--base", "1")
        assert code == exits.CONFLICT
        assert "another operator's version 2" in output
        _, shown = await site.ctl("config", "show")
        assert '"rate_per_s": 2' in shown


async def test_a_lost_reply_is_settled_by_reading_back():
    async with sites.create_site() as site:
        await site.control_platform("reply-lost")
        code, output = await _submit(site, _document(1))
        assert code == exits.OK
        assert output == "submitted: version 1 (reply lost, read back)\n"


async def test_an_outage_is_said_and_nothing_is_written():
    async with sites.create_site() as site:
        await site.control_platform("down")
        code, output = await _submit(site, _document(1))
        assert code == exits.UNREACHABLE
        assert "try again when it" in output
        await site.control_platform("up")
        code, output = await site.ctl("config", "show")
        assert code == exits.FAILED


async def test_a_difference_is_shown_without_submitting():
    async with sites.create_site() as site:
        await _submit(site, _document(1))
        code, output = await site.ctl("config", "diff", "-", stdin=_document(7))
        assert code == exits.OK
        assert '+   "rate_per_s": 7' in output
        _, shown = await site.ctl("config", "show")
        assert '"rate_per_s": 1' in shown


async def test_a_submitted_version_is_seen_in_force_at_every_daemon():
    async with sites.create_site() as site:
        workers = [sites.Worker(f"back-{n}", "east", "back") for n in range(3)]
        await site.add(workers)
        _, output = await _submit(site, _document(1))
        version = output.split()[-1]
        code, output = await site.ctl("config", "wait", version)
        assert (code, output) == (
            exits.OK,
            f"in force everywhere: version {version}\n",
        )
        _, output = await site.ctl("config", "status", "--json")
        standings = json.loads(output)
        assert [row["version"] for row in standings] == [int(version)] * 3
        code, output = await site.ctl(
            "config", "wait", str(int(version) + 1), "--seconds", "0"
        )
        assert code == exits.FAILED
        assert "back-0 (serving)" in output
