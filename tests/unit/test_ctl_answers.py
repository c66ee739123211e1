"""The operators' command line takes only a request's own answer."""

import asyncio
import json

import pytest

from savorybend.internal.ctl import commands
from savorybend.internal.ctl import exits
from standins import rawbackend
from tests import documents

_OTHERS = json.dumps({"name": "current", "version": 3, "value": "{}"})


def _json(status, value):
    return rawbackend.create_response(status, json.dumps(value).encode())


@pytest.fixture
def document(tmp_path):
    """A file with a valid configuration."""
    path = tmp_path / "configuration.json"
    path.write_text(documents.create_site().to_json())
    return str(path)


async def test_a_copy_of_what_was_read_does_not_confirm_a_write(document):
    # `config submit` said that a version was submitted which the store refused.
    read = rawbackend.create_response(200, _OTHERS.encode())

    async def answer(exchange):
        if exchange.method == "PUT":
            await exchange.write(_json(412, {}))
        else:
            await exchange.write(read)
            if exchange.number == 1:
                await exchange.write(read)

    server = rawbackend.create_raw_server(answer)
    async with server.serve():
        url = f"http://{server.address}"
        arguments = ["--platform-url", url, "config", "submit", document]
        code = await asyncio.to_thread(commands.run, arguments)
    assert code == exits.CONFLICT


async def test_a_copy_of_the_daemons_is_no_daemons_status(monkeypatch, capsys):
    # The command asks for the daemons first, then for each one's status.
    monkeypatch.setenv("SAVORYBEND_ADMIN_KEY", "admin")
    named = []

    async def answer(exchange):
        if exchange.number == 1:
            daemons = _json(200, named)
            await exchange.write(daemons[:-1], daemons[-1:] + daemons)
        else:
            await exchange.write(_json(503, {"error": "not yet"}))

    server = rawbackend.create_raw_server(answer)
    async with server.serve():
        named.append({"name": "back-1", "admin_address": server.address})
        arguments = ["--daemon", server.address, "config", "status"]
        await asyncio.to_thread(commands.run, arguments)
    assert "not reached" in capsys.readouterr().out
