"""An odd entry on the platform spoils nothing but itself."""

import random

import aiohttp
import msgspec
import pytest
from aiohttp import web

from savorybend.internal import announcing
from savorybend.internal import connections
from savorybend.internal import errors
from savorybend.internal import joining
from savorybend.internal import ledger
from savorybend.internal import ledgersync
from savorybend.internal import members
from savorybend.internal import peerkeys
from savorybend.internal import platform
from savorybend.internal import signing
from savorybend.internal.wire import membership as wire
from tests import fakes
from tests.platform import oddentries

_OWN = fakes.create_record("own")
_FIRST = fakes.create_record("a")
_GOOD = fakes.create_record("good")
_FIELDS = [msgspec.json.encode(one) for one in msgspec.structs.astuple(_GOOD)]
_NUMBERS = {
    of: text
    for of, text in oddentries.NUMBERS.items()
    if of not in ("text", "true", "null")
}


def _record(index=0, text=b'"odd"', more=()):
    """Returns a record as JSON, with one field replaced."""
    fields = [b'"odd"', *_FIELDS[1:]]
    fields[index] = text
    return b"[%s]" % b",".join([*fields, *more])


def _odd_records():
    found = {
        "nothing": b"",
        "null": b"null",
        "number": b"1",
        "short": b'["odd",1]',
        "the name of another daemon": _record(0, b'"own"'),
        "lone surrogate": _record(2, b'"\\ud800"'),
    }
    for of, text in {**_NUMBERS, **oddentries.DEEP}.items():
        found[f"incarnation of {of}"] = _record(1, text)
        found[f"revision of {of}"] = _record(9, text)
    for of, text in oddentries.DEEP.items():
        found[f"{of} in place of it"] = text
        found[f"{of} behind it"] = _record(more=[text])
    return {of: text.decode() for of, text in found.items()}


_ODD = _odd_records()


def _encode(record):
    return msgspec.json.encode(record).decode()


def _announcer(store):
    directory = members.create_directory(_OWN)
    return announcing.create_announcer(directory, store, random.Random(1))


class _Store:
    """A platform with given values by name."""

    def __init__(self, values):
        self.values = values

    async def get(self, kind, name):
        if name not in self.values:
            return platform.NO_OBJECT
        return platform.Object(name, 1, self.values[name])

    async def put(self, kind, name, value, expected):
        self.values[name] = value
        return 2

    async def list(self, kind):
        return platform.Listing(
            1,
            tuple(
                platform.Object(name, 1, value)
                for name, value in self.values.items()
            ),
        )


@pytest.mark.parametrize("odd", _ODD.values(), ids=_ODD.keys())
@pytest.mark.asyncio
async def test_the_other_daemons_are_found(odd):
    # The error ended all of a start's attempts to join the fleet.
    store = _Store({"a": _encode(_FIRST), "odd": odd, "good": _encode(_GOOD)})
    found = await _announcer(store).announce()
    assert found == [_FIRST, _GOOD]
    assert all(signing.is_signed(record) for record in found)


@pytest.mark.parametrize("odd", _ODD.values(), ids=_ODD.keys())
@pytest.mark.asyncio
async def test_a_daemon_replaces_what_is_odd_under_its_own_name(odd):
    store = _Store({"own": odd.replace('"own"', '"odd"')})
    await _announcer(store).announce()
    assert store.values["own"] == _encode(_OWN)


def test_the_record_that_the_odd_ones_are_made_from_is_valid():
    found = platform.Object("odd", 1, _record().decode())
    assert announcing.decode(found).name == "odd"


@pytest.mark.parametrize(
    "address",
    [
        "..:1",
        "a" * 300 + ":1",
        "127.0.0.1:70000",
        "",
        "\0",
        "h\u00f6st",
        "[::1",
    ],
    ids=lambda address: repr(address[:9]),
)
@pytest.mark.asyncio
async def test_a_daemon_at_an_odd_address_is_unreachable(address):
    async with aiohttp.ClientSession() as session:
        client = joining.create_join_client("secret", session)
        with pytest.raises(errors.PeerUnreachableError):
            await client.join(address, wire.JoinRequest(_GOOD, True, []))


@pytest.mark.parametrize(
    "changes",
    [
        {"peer_address": "127.0.0.1:x"},
        {"peer_address": ""},
        {"peer_address": "127.0.0.1\0:1"},
        {"public_key": "short"},
        {"public_key": "\u00e9" * 40},
    ],
    ids=str,
)
@pytest.mark.asyncio
async def test_a_message_to_an_odd_address_is_not_sent(changes):
    # Senders handle this error only.
    directory = members.create_directory(_OWN)
    keys = peerkeys.create_key_pair()
    fields = {"public_key": keys.public, **changes}
    directory.put(msgspec.structs.replace(_GOOD, **fields))
    opened = connections.create_connections(directory, keys, None)
    try:
        for _ in range(2):
            with pytest.raises(errors.PeerUnreachableError):
                opened.send("good", b"x")
        valid = {"peer_address": "127.0.0.1:1", "public_key": keys.public}
        opened.drop_unless("good", "another")
        directory.put(msgspec.structs.replace(_GOOD, revision=1, **valid))
        opened.send("good", b"x")
    finally:
        opened.close()


class _Chooser:
    def allocator(self, data_centre):
        return "own"

    def of_centre(self, data_centre):
        return []


class _Planner:
    def plan(self, current, alive, now_s):
        return current


class _Allocator:
    part_indexes = ()


@pytest.mark.parametrize(
    "odd",
    [
        "",
        "null",
        "[" * 100_000 + "]" * 100_000,
        '{"entries":[{"serial":1%s}]}' % ("1" * 5000),
        '{"entries":[{"serial":1%s}]}' % ("1" * 30),
        '{"x":%s}' % ('{"a":' * 100_000 + "1" + "}" * 100_000),
    ],
    ids=lambda text: text[:9],
)
@pytest.mark.asyncio
async def test_an_odd_ledger_is_read_again_later(odd):
    # The error ended the updates of the ledger for good.
    store = _Store({"east": odd})
    synchronizer = ledgersync.create_synchronizer(
        ledgersync.Dependencies(
            fakes.create_clock(),
            _Chooser(),
            _OWN,
            store,
            None,
            random.Random(1),
        ),
        _Planner(),
        _Allocator(),
    )
    assert await synchronizer.step() > 0
    assert await synchronizer.step() > 0
    assert synchronizer.age_s == float("inf")
    store.values["east"] = msgspec.json.encode(ledger.Ledger()).decode()
    await synchronizer.step()
    assert synchronizer.age_s == 0.0


@pytest.mark.parametrize("odd", oddentries.DEEP.values(), ids=oddentries.DEEP)
@pytest.mark.asyncio
async def test_a_deep_answer_of_the_platform_is_none(odd):
    async def answer(request):
        return web.Response(body=odd)

    server = web.ServerRunner(web.Server(answer))
    await server.setup()
    site = web.TCPSite(server, "127.0.0.1", 0)
    await site.start()
    port = server.addresses[0][1]
    try:
        async with aiohttp.ClientSession() as session:
            source = platform.create_platform(
                f"http://127.0.0.1:{port}", session
            )
            with pytest.raises(errors.PlatformUnavailableError):
                await source.list(platform.DAEMON_KIND)
    finally:
        await server.cleanup()
