"""Calls through real daemons: integrity, at-most-once, accounts, refusals."""

import asyncio
import os
import pathlib
import signal

import aiohttp
import pytest

from savorybend.internal.ctl import logs
from tests.platform import fleets


@pytest.fixture
async def fleet(tmp_path):
    async with fleets.running(tmp_path, ["ledger", "ledger", "shop"]) as found:
        yield found


async def test_a_call_is_carried_there_and_back_unchanged(fleet):
    caller = fleet.machines[2]
    status, headers, body = await fleet.call(
        caller, "/posts/a%20b?x=1", "r-9", "POST", data=b"body"
    )
    assert status == 200
    assert headers["Request-Id"] == "r-9"
    assert headers["Response-Signature"] == "s"
    assert body.endswith(b"POST /posts/a%20b?x=1 body")


async def test_no_backend_server_sees_the_key_and_each_sees_the_account(fleet):
    await fleet.call(
        fleet.machines[2],
        "/reads/x",
        "r-9",
        headers={"Tenant-Id": "forged", "Caller-Service": "forged"},
    )
    seen = fleets.seen_headers(fleet, "r-9")
    assert "Api-Key" not in seen
    assert seen["Tenant-Id"] == "maruyama"
    assert seen["Caller-Service"] == "shop"


async def test_a_key_that_no_account_holds_is_turned_away(fleet):
    status, _, _ = await fleet.call(
        fleet.machines[0], "/reads/x", headers={"Api-Key": "stranger"}
    )
    assert status == 401


async def test_a_path_without_a_route_is_not_found(fleet):
    status, _, _ = await fleet.call(fleet.machines[0], "/nowhere/x")
    assert status == 404


async def test_a_new_configuration_is_in_force_at_once_and_never_goes_back(
    fleet,
):
    await fleet.submit(version=9, keys=["another"])

    async def everywhere():
        found = [
            await fleet.call(machine, "/reads/x") for machine in fleet.machines
        ]
        return all(status == 401 for status, _, _ in found)

    await fleet.until(everywhere)
    await fleet.submit(version=5)
    await asyncio.sleep(0.3)
    assert await everywhere()


async def test_a_drained_backend_server_gets_nothing_new(fleet):
    leaving = fleet.machines[0].worker
    leaving.draining = True
    assert await leaving.announce() == 200
    before = len(leaving.ran)
    for number in range(20):
        status, _, _ = await fleet.call(
            fleet.machines[number % 3], "/reads/x", f"r-{number}"
        )
        assert status == 200
    assert len(leaving.ran) == before


async def test_a_late_announcement_revives_no_server_that_left_before_a_restart(
    fleet,
):
    machine = fleet.machines[0]
    left = machine.worker
    late = {"state": "ready", "sequence": 1, "coldRemaining": "0ms"}
    left.stop_announcing()
    assert await left.leave() == 200
    machine.signal(signal.SIGTERM)
    await machine.ended()
    await machine.start_daemon()
    await fleet.until(machine.ready)
    await left.announce(status=late)
    before = len(left.ran)
    for number in range(20):
        await fleet.call(machine, "/reads/x", f"late-{number}")
    assert len(left.ran) == before


async def test_a_leave_is_acknowledged_while_the_store_is_down(fleet):
    fleet.store.trouble = fleets.standin_store.Trouble.SILENT
    leaving = fleet.machines[0].worker
    leaving.draining = True
    async with asyncio.timeout(1.0):
        assert await leaving.announce() == 200
    before = len(leaving.ran)
    for number in range(10):
        await fleet.call(fleet.machines[1], "/reads/x", f"r-{number}")
    assert len(leaving.ran) == before


@pytest.mark.parametrize("spoil", ["unsigned", "another", "encoded", "reset"])
async def test_a_spoiled_answer_is_never_a_success(fleet, spoil):
    for machine in fleet.machines:
        machine.worker.spoil = spoil
    status, _, _ = await fleet.call(
        fleet.machines[2], "/posts/x", "r-9", "POST"
    )
    assert status in (502, 504)
    ran = [machine.worker.ran.count("r-9") for machine in fleet.machines]
    assert sum(ran) == 1


async def test_a_lost_read_is_tried_at_another_backend_server(fleet):
    fleet.machines[0].worker.spoil = "reset"
    # At most the retry budget of a daemon that has seen few calls.
    for number in range(2):
        status, _, _ = await fleet.call(
            fleet.machines[0], "/reads/x", f"r-{number}"
        )
        assert status == 200


async def test_a_call_that_every_backend_server_sheds_is_refused_truly(fleet):
    for machine in fleet.machines:
        machine.worker.spoil = "shed"
    status, headers, _ = await fleet.call(
        fleet.machines[2], "/posts/x", "r-9", "POST"
    )
    assert status == 503
    assert float(headers["Retry-After"]) > 0
    assert all("r-9" not in one.worker.ran for one in fleet.machines)


async def test_a_call_past_its_time_is_answered_at_its_time(fleet):
    for machine in fleet.machines:
        machine.worker.hold.clear()
    status, _, _ = await fleet.call(
        fleet.machines[2], "/reads/x", headers={"Deadline-Ms": "300"}
    )
    assert status == 504


async def test_a_read_is_cancelled_when_its_caller_disconnects(fleet):
    for machine in fleet.machines:
        machine.worker.hold_s = 30.0
    with pytest.raises(TimeoutError):
        await fleet.call(
            fleet.machines[2],
            "/reads/x",
            timeout=aiohttp.ClientTimeout(total=0.3),
        )
    for machine in fleet.machines:
        machine.worker.hold_s = 0.0
    async with asyncio.timeout(2.0):
        for number in range(8):
            await fleet.call(fleet.machines[2], "/reads/x", f"r-{number}")


async def test_a_killed_daemon_costs_no_read_its_answer(fleet):
    for machine in fleet.machines[:2]:
        machine.worker.hold_s = 0.3
    calls = [
        asyncio.create_task(
            fleet.call(fleet.machines[2], "/reads/x", f"r-{number}")
        )
        for number in range(2)  # The retry budget at the start.
    ]
    await asyncio.sleep(0.15)
    fleet.machines[0].signal(signal.SIGKILL)
    found = await asyncio.gather(*calls)
    assert [status for status, _, _ in found] == [200] * 2


async def test_a_post_never_runs_twice_when_a_daemon_is_killed(fleet):
    for machine in fleet.machines[:2]:
        machine.worker.hold_s = 0.4
    calls = [
        asyncio.create_task(
            fleet.call(fleet.machines[2], "/posts/x", f"p-{number}", "POST")
        )
        for number in range(4)
    ]
    await asyncio.sleep(0.2)
    fleet.machines[0].signal(signal.SIGKILL)
    found = await asyncio.gather(*calls)
    ran = [*fleet.machines[0].worker.ran, *fleet.machines[1].worker.ran]
    for number, (status, _, _) in enumerate(found):
        count = ran.count(f"p-{number}")
        assert count <= 1
        assert status in (200, 502) or (status == 503 and count == 0)


async def test_a_stop_cuts_no_call_and_ends_by_itself(fleet):
    for machine in fleet.machines:
        machine.worker.hold_s = 0.5
    call = asyncio.create_task(
        fleet.call(fleet.machines[0], "/posts/x", "r-9", "POST")
    )
    await asyncio.sleep(0.2)
    fleet.machines[0].signal(signal.SIGTERM)
    await asyncio.sleep(0.1)
    assert not await fleet.machines[0].ready()
    status, _, _ = await call
    assert status == 200
    async with asyncio.timeout(5.0):
        assert await fleet.machines[0].ended() == 0


async def test_a_daemon_that_stops_lets_others_use_its_backend_server(fleet):
    # A backend server was unavailable for the whole stop of its daemon, so that
    # stopping one daemon a second left a service of three with none.
    stopping, other = fleet.machines[:2]
    other.worker.draining = True
    assert await other.worker.announce() == 200
    stopping.signal(signal.SIGTERM)
    await asyncio.sleep(0.1)
    assert not await stopping.ready()
    status, _, _ = await fleet.call(other, "/reads/x", "meanwhile")
    assert status == 200
    assert "meanwhile" in stopping.worker.ran


async def test_nothing_that_comes_late_in_a_stop_is_begun_and_cut(fleet):
    leaving = fleet.machines[0]
    leaving.worker.hold_s = 30.0
    kept = asyncio.create_task(fleet.call(leaving, "/posts/x", "r-1", "POST"))
    await asyncio.sleep(0.2)
    for machine in fleet.machines:
        machine.worker.hold_s = 2.0
    leaving.signal(signal.SIGTERM)
    await asyncio.sleep(3.1)
    status, headers, _ = await fleet.call(leaving, "/posts/x", "late", "POST")
    assert status == 503
    assert float(headers["Retry-After"]) > 0
    assert all("late" not in one.worker.ran for one in fleet.machines)
    kept.cancel()


async def test_a_daemon_that_is_killed_is_back_with_what_the_store_kept(fleet):
    fleet.machines[0].signal(signal.SIGKILL)
    await fleet.machines[0].ended()
    await fleet.machines[0].start_daemon()

    async def serves():
        try:
            status, _, _ = await fleet.call(fleet.machines[0], "/reads/x")
        except aiohttp.ClientError:
            return False
        return status == 200

    await fleet.until(serves)


async def test_a_daemon_without_the_store_hears_the_configuration_of_peers(
    fleet,
):
    fleet.machines[1].signal(signal.SIGKILL)
    await fleet.machines[1].ended()
    fleet.store.trouble = fleets.standin_store.Trouble.SILENT
    await fleet.machines[1].start_daemon()
    await fleet.until(fleet.machines[1].ready)


async def test_an_account_far_over_its_rate_is_refused_with_a_time(fleet):
    await fleet.submit(version=9, rate_per_s=10)
    await asyncio.sleep(0.5)
    found = [
        await fleet.call(fleet.machines[0], "/reads/x", f"r-{number}")
        for number in range(60)
    ]
    refused = [headers for status, headers, _ in found if status == 429]
    assert refused
    assert all(float(one["Retry-After"]) > 0 for one in refused)


async def test_why_a_request_was_refused_is_found_in_the_logs(fleet):
    await fleet.submit(version=2, rate_per_s=1)
    refused = []

    async def is_refused():
        request_id = f"r-{len(refused)}"
        refused.append(request_id)
        status, _, _ = await fleet.call(
            fleet.machines[0], "/reads/x", request_id
        )
        return status == 429

    await fleet.until(is_refused)
    # Logs are flushed a few times a second.
    await asyncio.sleep(0.3)
    said = []
    assert logs.show_request(str(fleet.folder), refused[-1], said.append)
    assert any("over-limit" in text for text in said)


async def test_why_a_request_failed_is_found_in_the_logs(fleet):
    asked, entry = fleet.machines[0], fleet.machines[2]
    fleet.machines[1].worker.draining = True
    assert await fleet.machines[1].worker.announce() == 200
    asked.worker.hold_s = 0.5
    call = asyncio.create_task(fleet.call(entry, "/posts/x", "lost", "POST"))
    await asyncio.sleep(0.2)
    asked.signal(signal.SIGKILL)
    status, _, _ = await call
    assert status == 502
    await asyncio.sleep(0.3)
    said = []
    assert logs.show_request(str(fleet.folder), "lost", said.append)
    assert any("peer_lost" in text and "vm-0" in text for text in said)


async def test_why_a_request_was_late_is_found_in_the_logs(fleet):
    for machine in fleet.machines[:2]:
        machine.worker.hold_s = 2.0
    status, _, _ = await fleet.call(
        fleet.machines[2],
        "/posts/x",
        "late",
        "POST",
        headers={"Deadline-Ms": "300"},
    )
    assert status == 504
    await asyncio.sleep(0.3)
    said = []
    assert logs.show_request(str(fleet.folder), "late", said.append)
    assert any("reason=deadline" in text for text in said)


async def test_a_daemon_uses_no_io_uring_no_thread_and_no_other_process(fleet):
    # An event loop library set up an io_uring by itself.
    process = pathlib.Path("/proc") / str(fleet.machines[0].process.pid)
    opened = [os.readlink(entry) for entry in (process / "fd").iterdir()]
    assert "anon_inode:[io_uring]" not in opened
    assert "anon_inode:[io_uring]" not in (process / "maps").read_text()
    threads = list((process / "task").iterdir())
    assert len(threads) == 1
    assert not (threads[0] / "children").read_text().split()


async def test_a_page_tells_through_whom_each_daemon_became_known(fleet):
    first, second, third = fleet.machines
    url = f"http://{first.host}:{first.base + 2}/daemons"
    async with fleet.session.get(url) as response:
        lines = (await response.text()).splitlines()
    assert [line.split()[0] for line in lines] == [
        f"daemon={second.name}",
        f"daemon={third.name}",
    ]
    for line in lines:
        assert " state=ready " in line
        assert " source=" in line
        assert " learned_s_ago=" in line
