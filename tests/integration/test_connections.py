"""A pair of daemons shares one connection, opened on demand, closed if idle."""

import asyncio

import prometheus_client
import pytest

from savorybend.internal import connections
from savorybend.internal import errors
from savorybend.internal import members
from savorybend.internal import peerkeys
from savorybend.internal import peers
from savorybend.internal import timers
from savorybend.internal.wire import codec
from savorybend.internal.wire import membership
from standins import site as sites

pytestmark = pytest.mark.asyncio

_WAIT_S = 10.0


class _End:
    """A daemon's connections and the messages received over them."""

    def __init__(self, name, address, incarnation=1):
        self.name = name
        self.address = address
        self.keys = peerkeys.create_key_pair()
        fields = ("east", "back", "call", address, "admin", self.keys.public)
        self.record = members.Record(name, incarnation, *fields)
        self.directory = members.create_directory(self.record)
        self.arrived = asyncio.Queue()
        self.connections = connections.create_connections(
            self.directory,
            self.keys,
            lambda peer, data, routing_id: self.arrived.put_nowait(
                (peer, data, routing_id)
            ),
        )
        self.connections.bind(address)

    async def take(self):
        return await asyncio.wait_for(self.arrived.get(), _WAIT_S)


@pytest.fixture
async def pair():
    book = sites.AddressBook()
    ends = [_End(name, book.next()) for name in ("one", "two")]
    for end in ends:
        for other in ends:
            end.directory.put(other.record)
    yield ends
    for end in ends:
        end.connections.close()


def _open_count():
    return prometheus_client.REGISTRY.get_sample_value(
        "savorybend_peer_connections"
    )


async def _exchange(one, two):
    one.connections.send("two", b"there")
    peer, data, routing_id = await two.take()
    assert (peer, data) == ("one", b"there")
    assert routing_id is not None
    two.connections.send("one", b"back")
    assert await one.take() == ("two", b"back", None)


async def test_the_peer_answers_over_the_connection_that_was_opened(pair):
    await _exchange(*pair)


async def test_an_unused_connection_is_closed_and_opened_again(pair):
    one, two = pair
    await _exchange(one, two)
    for busy, left in (((), 1), (("two",), 1), ((), 0)):
        one.connections.close_idle(busy)
        assert _open_count() == left
    await _exchange(one, two)


async def test_a_peer_whose_connection_was_closed_opens_one_itself(pair):
    one, two = pair
    await _exchange(one, two)
    one.connections.drop("two")
    async with asyncio.timeout(_WAIT_S):
        while one.arrived.empty():
            two.connections.send("one", b"again")
            await asyncio.sleep(0.05)
    peer, data, routing_id = await one.take()
    assert (peer, data) == ("two", b"again")
    assert routing_id is not None


async def test_a_connection_is_replaced(pair):
    one, two = pair
    await _exchange(one, two)
    one.connections.reopen("two")
    await _exchange(one, two)


async def test_an_unknown_peer_is_unreachable(pair):
    with pytest.raises(errors.PeerUnreachableError, match="choose another"):
        pair[0].connections.send("three", b"")


async def test_a_restarted_peer_is_reached_before_any_call_goes_to_it(pair):
    # A connection that had carried no calls yet was kept when the peer
    # restarted, and messages sent over it were lost.
    one, two = pair
    transport = peers.Transport(one.directory, timers.create_timer_service())
    transport.set_connections(one.connections)
    message = membership.IndirectProbeReply(1)
    transport.send("two", message)
    await two.take()
    two.connections.close()
    # The library removes its handshake reader later in the loop, and by file
    # descriptor number, which the restarted peer could be assigned again.
    await asyncio.sleep(0.1)
    restarted = _End("two", two.address, incarnation=2)
    restarted.directory.put(one.record)
    one.directory.put(restarted.record)
    transport.send("two", message)
    two.connections = restarted.connections
    assert (await restarted.take())[:2] == ("one", codec.encode(message))
