"""Requests of the backend server on this VM, in the order that they began."""

import asyncio
import types

import msgspec
import pytest

from savorybend.internal import backendserver
from savorybend.internal import localendpoint

_PATH = "/savorybend/v1/backend"
_ANNOUNCEMENT = msgspec.json.encode({"address": "127.0.0.1:1", "slots": 4})


class _Gate:
    """Accepts any number of slots."""

    def set_slots(self, slots):
        pass


class _Request:
    """A request whose body arrives when the test lets it."""

    def __init__(self, method, path, body=b""):
        self.method = method
        self.path = path
        self.content = types.SimpleNamespace(read=self._read)
        self.arrived = asyncio.Event()
        self._body = body

    async def _read(self, limit):
        await self.arrived.wait()
        return self._body


@pytest.fixture
def server():
    return backendserver.create_backend_server(_Gate())


@pytest.fixture
def endpoint(server):
    return localendpoint.create_local_endpoint(server, None)


async def _handle(endpoint, request):
    request.arrived.set()
    return await endpoint.handle(request)


def _announcement():
    return _Request("PUT", _PATH, _ANNOUNCEMENT)


def _drain():
    return _Request("POST", f"{_PATH}/drain")


async def test_an_announcement_begun_before_a_drain_does_not_end_it(
    server, endpoint
):
    announcement = _announcement()
    announcing = asyncio.create_task(endpoint.handle(announcement))
    await asyncio.sleep(0)
    await _handle(endpoint, _drain())
    announcement.arrived.set()
    response = await announcing
    assert server.state == "draining"
    assert msgspec.json.decode(response.body) == {"state": "draining"}


async def test_an_announcement_after_a_drain_takes_it_back(server, endpoint):
    await _handle(endpoint, _drain())
    await _handle(endpoint, _announcement())
    assert server.state == "ready"
