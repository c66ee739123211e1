"""Unauthorized and hostile peers are refused and counted; service continues."""

import asyncio
import contextlib
import itertools
import json
import re
import socket

import msgspec
import pytest
import pytest_asyncio
import zmq

from savorybend.internal import joining
from savorybend.internal import members
from savorybend.internal import signing
from savorybend.internal.wire import calls
from savorybend.internal.wire import codec
from savorybend.internal.wire import links
from savorybend.internal.wire import membership
from standins import site as sites

pytestmark = pytest.mark.asyncio(loop_scope="module")

_FLOOD = 300
_WAIT_S = 15.0


class _Stranger:
    """A peer with unannounced keys that connects to a daemon."""

    def __init__(self, site, public, secret):
        self._site = site
        self._public = public
        self._secret = secret
        self._context = zmq.Context()

    async def send(self, *messages, routing_id=None, server_key=None):
        """Sends messages, each one part or a tuple of parts."""
        name = "back-1"
        daemons = {
            row["name"]: row for row in await self._site.ask(name, "daemons")
        }
        dealer = self._context.socket(zmq.DEALER)
        dealer.linger = 1000
        dealer.curve_serverkey = (
            server_key or daemons[name]["public_key"].encode()
        )
        dealer.curve_publickey = self._public
        dealer.curve_secretkey = self._secret
        if routing_id:
            dealer.routing_id = routing_id
        dealer.connect(f"tcp://{self._site.addresses[name].peer}")
        for message in messages:
            parts = message if isinstance(message, tuple) else (message,)
            dealer.send_multipart(parts)
        dealer.close()

    def stop(self):
        self._context.destroy(linger=0)


class _Member(_Stranger):
    """A hostile peer that knows the fleet secret and joins as a member."""

    def __init__(self, site):
        super().__init__(site, *zmq.curve_keypair())
        self._incarnations = itertools.count(1)
        self._signer = signing.create_signer()

    def sign(self, record):
        """Returns a record with this member's key and signature."""
        return self._signer.sign(record)

    async def send(self, *messages, **options):
        # It answers no probes, so it rejoins before it is declared dead.
        fields = ("east", "mallory") + ("127.0.0.1:1",) * 3
        record = members.Record(
            "mallory", next(self._incarnations), *fields, self._public.decode()
        )
        record = self.sign(record)
        join_client = joining.create_join_client(
            sites.FLEET_SECRET, self._site.session
        )
        admin = self._site.addresses["back-1"].admin
        await join_client.join(admin, membership.JoinRequest(record, True, []))
        await super().send(*messages, **options)


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def mallory(chain):
    """A member of the fleet that violates the protocol."""
    member = _Member(chain)
    yield member
    member.stop()


async def _metric(site, name, cause=""):
    """Returns a counter's value, or 0."""
    url = f"http://{site.addresses['back-1'].admin}/metrics"
    async with site.session.get(url) as answer:
        text = await answer.text()
    label = rf'\{{cause="{cause}"\}}' if cause else ""
    found = re.search(rf"^{name}{label} ([0-9.e+]+)$", text, re.M)
    return float(found[1]) if found else 0.0


@contextlib.asynccontextmanager
async def _counted(site, maruyama, cause, more=1):
    name = "savorybend_peer_refusals_total"
    before = await _metric(site, name, cause)
    yield
    async with asyncio.timeout(_WAIT_S):
        while await _metric(site, name, cause) < before + more:
            await asyncio.sleep(0.05)
    address = site.addresses["front-1"].call
    assert (await maruyama.call(address, "/back")).outcome == "ran"


async def test_an_unannounced_key_is_refused(chain, maruyama):
    stranger = _Stranger(chain, *zmq.curve_keypair())
    async with _counted(chain, maruyama, "unannounced-key"):
        await stranger.send(b"x")
    stranger.stop()


async def test_a_wrong_server_key_is_refused(chain, mallory, maruyama):
    public, _ = zmq.curve_keypair()
    async with _counted(chain, maruyama, "handshake"):
        await mallory.send(b"x", server_key=public)


# Each row: the fault, the message's parts, the expected refusal cause.
_MESSAGES = (
    ("no message at all", (b"\xc1garbage",), "garbled"),
    ("empty", (b"",), "garbled"),
    ("too many parts", (b"a", b"b", b"c"), "garbled"),
    ("an unknown kind", (msgspec.msgpack.encode(["nonsense", 1]),), "garbled"),
    (
        "nested too deep",
        (b"\x91" * 100_000 + b"\x01",),
        "garbled",
    ),
    (
        "a credit without end",
        (msgspec.msgpack.encode(["credit", 1, 1 << 62]),),
        "garbled",
    ),
    ("oversized", (bytes(codec.MAX_MESSAGE_BYTES + 1),), "garbled"),
)


@pytest.mark.parametrize("row", _MESSAGES, ids=[row[0] for row in _MESSAGES])
async def test_a_member_that_sends_nonsense_is_refused(
    chain, mallory, maruyama, row
):
    _, parts, cause = row
    async with _counted(chain, maruyama, cause):
        await mallory.send(parts)


async def test_a_message_too_large_to_read_ends_its_connection(
    chain, mallory, maruyama
):
    await mallory.send(bytes(8 * codec.MAX_MESSAGE_BYTES))
    async with _counted(chain, maruyama, "garbled"):
        await mallory.send(b"\xc1")


async def test_another_members_name_can_not_be_claimed(
    chain, mallory, maruyama
):
    async with _counted(chain, maruyama, "claimed-name"):
        await mallory.send(b"x", routing_id=b"front-1")


# Each row: the fault, the forged fields, the expected refusal cause.
_TAKEN = (
    ("a revision", {"revision": 99}, "forged-record"),
    ("a later start", {"incarnation": 1 << 50}, "claimed-name"),
)


@pytest.mark.parametrize("row", _TAKEN, ids=[row[0] for row in _TAKEN])
async def test_a_member_can_not_take_anothers_name(
    chain, mallory, maruyama, row
):
    _, fields, cause = row
    address = chain.addresses["front-1"].call
    held = await _shown(chain, "front-1")
    public, _ = zmq.curve_keypair()
    fields = {**held, "public_key": public.decode(), **fields}
    forged = mallory.sign(members.Record(**fields))
    news = [membership.Update(forged, "alive")]
    standing = membership.ConfigurationStatus(0, 0.0)
    async with _counted(chain, maruyama, cause):
        await mallory.send(codec.encode(membership.Gossip(news, standing)))
    assert await _shown(chain, "front-1") == held
    assert (await maruyama.call(address, "/front/x")).outcome == "ran"


async def _shown(site, name):
    """Returns a daemon's record as back-1 holds it."""
    rows = await site.ask("back-1", "daemons")
    return next(row for row in rows if row["name"] == name)


async def test_a_member_can_not_answer_anothers_calls(chain, mallory, maruyama):
    await chain.control("front-1", slow=200)
    address = chain.addresses["back-1"].call
    call = asyncio.create_task(maruyama.call(address, "/front/x"))
    head = calls.AnswerHead(200, [], "ran", "", 0, "mallory", 0, False, 0)
    forged = [calls.AnswerStart(n, head, b"forged", True) for n in range(100)]
    await asyncio.sleep(0.1)
    await mallory.send(
        *(
            codec.encode(links.Numbered(number, 0, answer))
            for number, answer in enumerate(forged, start=1)
        )
    )
    result = await call
    await chain.control("front-1", slow=1)
    assert result.outcome == "ran"
    assert json.loads(result.body)["service"] == "front"


async def test_a_flood_of_silent_connections_is_dropped(chain, maruyama):
    host, _, port = chain.addresses["back-1"].peer.rpartition(":")
    flood = []
    async with _counted(chain, maruyama, "handshake", _FLOOD):
        for _ in range(_FLOOD):
            flood.append(socket.create_connection((host, int(port))))
        address = chain.addresses["back-1"].call
        assert (await maruyama.call(address, "/back")).outcome == "ran"
    for connection in flood:
        connection.close()


async def test_a_stranger_that_speaks_no_zeromq_is_cut_off(chain, maruyama):
    host, _, port = chain.addresses["back-1"].peer.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n" * 10)
    with contextlib.suppress(ConnectionError):
        await asyncio.wait_for(reader.read(), _WAIT_S)
    writer.close()
    address = chain.addresses["front-1"].call
    assert (await maruyama.call(address, "/back")).outcome == "ran"


async def test_half_open_requests_end(chain, maruyama):
    host, _, port = chain.addresses["back-1"].call.rpartition(":")
    name = "savorybend_half_open_requests_total"
    before = await _metric(chain, name)
    callers = [
        await asyncio.open_connection(host, int(port)) for _ in range(_FLOOD)
    ]
    for _, writer in callers:
        writer.write(b"GET /back HTTP/1.1\r\nHost: x\r\n")
    address = chain.addresses["back-1"].call
    assert (await maruyama.call(address, "/back")).outcome == "ran"
    async with asyncio.timeout(_WAIT_S):
        while await _metric(chain, name) < before + _FLOOD:
            for _, writer in callers:
                writer.write(b"X")
            await asyncio.sleep(0.5)
    for _, writer in callers:
        writer.close()


# Each row: the fault, and the bytes sent.
_GARBAGE = (
    ("no HTTP", b"\x16\x03\x01" + bytes(200)),
    (
        "pipelined after a call",
        b"GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n\0\0\r\n\r\n",
    ),
    (
        "two lengths",
        b"PUT /back HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
    ),
    (
        "a length and chunks",
        b"PUT /back HTTP/1.1\r\nContent-Length: 1\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n",
    ),
    (
        "a bad chunk",
        b"PUT /back HTTP/1.1\r\nHost: x\r\n"
        b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
    ),
    ("a line without end", b"GET /" + b"x" * 100_000),
    ("many headers", b"GET / HTTP/1.1\r\n" + b"X: y\r\n" * 10_000 + b"\r\n"),
)


@pytest.mark.parametrize("row", _GARBAGE, ids=[row[0] for row in _GARBAGE])
async def test_garbage_over_http_is_refused(chain, maruyama, row):
    host, _, port = chain.addresses["back-1"].call.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(row[1])
    with contextlib.suppress(ConnectionError):
        answers = await asyncio.wait_for(reader.read(), _WAIT_S)
        for status in re.findall(rb"^HTTP/1.1 (\d+)", answers, re.M):
            assert status.startswith(b"4")
    writer.close()
    address = chain.addresses["back-1"].call
    assert (await maruyama.call(address, "/back")).outcome == "ran"
