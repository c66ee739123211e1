"""The platform is out, or a data centre is cut off, for as long as it takes."""

import asyncio
import hmac

import aiohttp
import msgspec
import pytest

from savorybend.internal.wire import membership as wire
from standins import caller
from standins import site as sites
from tests import documents
from tests import fakes
from tests.integration import fleets

pytestmark = pytest.mark.asyncio


async def _replace(site, old, new, seed):
    """Replaces a VM by one of another name, at other addresses."""
    site.kill(old)
    site.kill(sites.backend_of(old))
    await site.wait_ended(old)
    del site.workers[old]
    await site.add([sites.Worker(new, "east", "back")], SEEDS=seed)


async def test_calls_and_replacements_go_on_without_the_platform():
    names = ["back-0", "back-1", "back-2"]
    workers = [sites.Worker(name, "east", "back") for name in names]
    async with (
        sites.create_site() as site,
        aiohttp.ClientSession() as session,
    ):
        # The seeds are the first daemon's address, which is known already.
        await site.add(workers[:1])
        seed = site.addresses["back-0"].admin
        await fleets.start(site, workers[1:], SEEDS=seed)
        await site.control_platform("down")
        person = caller.Caller(session, documents.MARUYAMA.text)
        for number in range(2, 5):
            new = f"back-{number + 1}"
            await _replace(site, f"back-{number}", new, seed)
            assert await fleets.until(fleets.agree(site))
            await site.wait_ready()
            for name in site.workers:
                address = site.addresses[name].call
                result = await person.call(address, "/back")
                assert result.outcome == "ran"
        assert await fleets.until(lambda: _knows_its_age(site, "back-5"))
        code, output = await site.ctl(
            "config", "submit", "-", stdin=fleets.create_text(9)
        )
        assert code != 0
        assert "platform" in output
        await site.control_platform("up")
        version = await fleets.submit(site, 9)
        # The backoff after a long outage is bounded, the target is not met
        # by it: the platform is back at a moment of its own.
        assert await fleets.in_force(
            site, version, site.workers, fleets.SETTLE_S
        )


async def _knows_its_age(site, name):
    # Nobody has been in touch with the platform for a while.
    age_s = (await site.ask(name, "status"))["configuration_age_s"]
    return age_s is not None and age_s > 1


async def test_a_stranger_without_the_secret_is_not_let_in():
    async with sites.create_site() as site:
        await fleets.start(site, [sites.Worker("back-0", "east", "back")])
        seed = site.addresses["back-0"].admin
        await site.add(
            [sites.Worker("stranger", "east", "back")],
            SEEDS=seed,
            FLEET_SECRET="another-secret-for-tests",
            PLATFORM_URL=f"http://{site.book.next()}",
        )
        await asyncio.sleep(3)
        assert await fleets.sees(site, "back-0") == {"back-0"}
        assert await fleets.sees(site, "stranger") == {"stranger"}
        url = f"http://{seed}/metrics"
        async with site.session.get(url) as answer:
            text = await answer.text()
        assert 'savorybend_peer_refusals_total{cause="join"}' in text


async def test_a_recorded_introduction_is_no_use():
    async with sites.create_site() as site:
        await fleets.start(site, [sites.Worker("back-0", "east", "back")])
        url = f"http://{site.addresses['back-0'].admin}/join"
        async with site.session.get(url) as answer:
            nonce = answer.headers["Savorybend-Nonce"]
        request = wire.JoinRequest(fakes.create_record("late"), False, [])
        body = msgspec.msgpack.encode(request)
        message = b"\n".join((b"request", nonce.encode(), body))
        mac = hmac.digest(sites.FLEET_SECRET.encode(), message, "sha256").hex()
        sent = {"Savorybend-Nonce": nonce, "Savorybend-Mac": mac}
        statuses = []
        for _ in range(2):
            async with site.session.post(
                url, data=body, headers=sent
            ) as answer:
                statuses.append(answer.status)
        assert statuses == [200, 403]


async def test_data_centres_cut_from_one_another_come_back():
    # Every way into a daemon is cut, so each is a data centre of its own.
    names = ["east-0", "west-0"]
    workers = [sites.Worker(n, n.partition("-")[0], "back") for n in names]
    async with (
        sites.create_site() as site,
        aiohttp.ClientSession() as session,
    ):
        await fleets.start(site, workers, proxied=True)
        person = caller.Caller(session, documents.MARUYAMA.text)
        for name in names:
            site.cut(name)
        for name in names:
            assert await fleets.until(fleets.agree(site, [name]))
            address = site.addresses[name].call
            found = await person.call(address, "/back")
            assert found.outcome == "ran", found
        version = await fleets.submit(site, 9)
        # Each still has its own way to the platform.
        assert await fleets.in_force(site, version, names)
        for name in names:
            site.heal(name)
        assert await fleets.until(fleets.agree(site))
        await asyncio.sleep(5)
        assert await fleets.agree(site)()


async def test_a_killed_daemon_is_forgotten_and_its_successor_known():
    names = [f"back-{n}" for n in range(4)]
    workers = [sites.Worker(name, "east", "back") for name in names]
    async with sites.create_site() as site:
        await fleets.start(site, workers)
        site.kill("back-3")
        await site.wait_ended("back-3")
        assert await fleets.until(fleets.agree(site, names[:3]))
        await site.start_daemon("back-3")
        await site.wait_listening("back-3")
        assert await fleets.until(fleets.agree(site))


async def test_a_killed_daemon_starts_again_without_the_platform():
    names = [f"back-{n}" for n in range(3)]
    workers = [sites.Worker(name, "east", "back") for name in names]
    async with sites.create_site() as site:
        await site.add(workers[:1])
        seed = site.addresses["back-0"].admin
        await fleets.start(site, workers[1:], SEEDS=seed)
        await site.control_platform("down")
        site.kill("back-2")
        await site.wait_ended("back-2")
        # The others still take the one that was killed for living.
        await site.start_daemon("back-2")
        await site.wait_listening("back-2")
        own = {r["name"]: r for r in await site.ask("back-2", "daemons")}
        for name in names:
            assert await fleets.until(
                lambda name=name: _has(site, name, own["back-2"])
            )
        assert await fleets.until(fleets.agree(site))


async def _has(site, name, record):
    return record["public_key"] in {
        found["public_key"] for found in await site.ask(name, "daemons")
    }


async def test_a_daemon_that_was_replaced_while_frozen_shuts_down():
    names = ["back-0", "back-1"]
    workers = [sites.Worker(name, "east", "back") for name in names]
    async with sites.create_site() as site:
        await fleets.start(site, workers)
        site.freeze("back-0")
        twin = sites.Worker("twin", "east", "back")
        await site.add([twin], NAME="back-0")
        known = fleets.until(lambda: _sees_anew(site, "back-1", "twin"))
        assert await known
        site.resume("back-0")
        async with asyncio.timeout(fleets.SETTLE_S):
            assert await site.wait_ended("back-0") == 0
        assert await _sees_anew(site, "back-1", "twin")


async def _sees_anew(site, name, successor):
    addresses = [r["call_address"] for r in await site.ask(name, "daemons")]
    return site.addresses[successor].call in addresses
