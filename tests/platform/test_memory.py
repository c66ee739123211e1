"""Real daemons stay within their memory, and small calls go on."""

import asyncio
import contextlib
import functools
import itertools
import pathlib
import signal
import statistics
import time

import aiohttp
import pytest

from standins import stutter
from tests import floods
from tests.platform import fleets

# The least that machines of the users' fleet have.
_MEMORY_MB = 200
_LIMIT_BYTES = 64 << 20
_UPLOAD_BYTES = 60 << 20
_UPLOADS = 6
_ANSWER_BYTES = 6 << 20
_SLOW_READERS = 30
_READ_BYTES = 65_536
_READ_PAUSE_S = 0.02
_QUIET_S = 2.0
_SMALL_INTERVAL_S = 0.02
# More than there are calls, so that none is refused for want of a slot.
_SLOTS = 200
_FAULTY_CALLS = 40
_HELD = "savorybend_held_bytes"
_USES = ("small", "requests", "responses", "answers", "store")


def _memory_mb(machine, field):
    """Returns a field of a daemon's memory from the kernel, in MiB."""
    path = pathlib.Path(f"/proc/{machine.process.pid}/status")
    for line in path.read_text().splitlines():
        if line.startswith(field + ":"):
            return int(line.split()[1]) / 1024
    return 0.0


class _Small:
    """Small calls at a steady rate, one after the other."""

    def __init__(self, fleet, machine):
        self.statuses = []
        self.took_s = []
        self._fleet = fleet
        self._machine = machine
        self._numbers = itertools.count()

    async def run(self, until):
        """Sends calls until a task is done."""
        while not until.done():
            start_s = time.monotonic()
            status, _, _ = await self._fleet.call(
                self._machine,
                "/reads/x",
                f"{self._machine.name}-{next(self._numbers)}",
            )
            self.statuses.append(status)
            self.took_s.append(time.monotonic() - start_s)
            await asyncio.sleep(_SMALL_INTERVAL_S)

    def p99_ms(self):
        """Returns the 99th percentile of the latency, in milliseconds."""
        return statistics.quantiles(self.took_s, n=100)[-1] * 1000


async def _upload(fleet, machine, number):
    """Uploads a large body; returns the status."""
    status, _, _ = await fleet.call(
        machine,
        "/posts/x",
        f"upload-{machine.name}-{number}",
        "POST",
        data=bytes(_UPLOAD_BYTES),
        headers={"Deadline-Ms": "20000"},
    )
    return status


async def _leave_midway(machine, number):
    """Sends half of a large body, and leaves."""
    host, port = machine.host, machine.base
    reader, writer = await asyncio.open_connection(host, port)
    head = (
        f"POST /posts/x HTTP/1.1\r\nHost: {fleets.HOST}\r\n"
        f"Request-Id: left-{machine.name}-{number}\r\n"
        f"Api-Key: {fleets.KEY}\r\nContent-Length: {_UPLOAD_BYTES}\r\n\r\n"
    )
    writer.write(head.encode())
    with contextlib.suppress(OSError):
        for _ in range(_UPLOAD_BYTES // 2 // _READ_BYTES):
            writer.write(bytes(_READ_BYTES))
            await writer.drain()
    del reader
    writer.transport.abort()


async def _read_slowly(fleet, machine, number):
    """Reads a large answer slowly; returns its status, and whether whole."""
    headers = {
        "Host": fleets.HOST,
        "Request-Id": f"slow-{machine.name}-{number}",
        "Deadline-Ms": "20000",
        "Api-Key": fleets.KEY,
    }
    size = 0
    async with fleet.session.get(
        machine.url + "/large/x", headers=headers
    ) as response:
        while part := await response.content.read(_READ_BYTES):
            size += len(part)
            await asyncio.sleep(_READ_PAUSE_S)
        return response.status, size >= _ANSWER_BYTES


def _plan(request, answer):
    if request.target.startswith("/large/"):
        return [answer._replace(body=bytes(_ANSWER_BYTES)).data]
    return [answer.data]


async def _start(fleet):
    timeout = {"timeout": "30000ms", "targetLatency": "1000ms"}
    await fleet.submit(
        version=2,
        body_bytes=_LIMIT_BYTES,
        routes={
            **fleets.ROUTES,
            "posts": {
                "pathPrefix": "/posts/",
                "type": "upload",
                "priority": 0,
                **timeout,
            },
            "large": {
                "pathPrefix": "/large/",
                "type": "idempotent",
                "priority": 1,
                **timeout,
            },
        },
    )
    for machine in fleet.machines:
        machine.worker.plan = _plan

    async def known():
        names = [
            await machine.metric("savorybend_configuration_version")
            for machine in fleet.machines
        ]
        return names == [2.0] * len(names)

    await fleet.until(known)


@contextlib.asynccontextmanager
async def _running(folder):
    async with fleets.running(
        folder,
        ["ledger"] * 2,
        create_worker=functools.partial(stutter.StutteringWorker, slots=_SLOTS),
        memory_mb=_MEMORY_MB,
    ) as fleet:
        await _start(fleet)
        yield fleet


async def _beside(small, work):
    """Does some work while small calls go on; returns its result."""
    task = asyncio.ensure_future(work)
    await asyncio.gather(*(one.run(task) for one in small), task)
    return task.result()


def _small(fleet):
    return [_Small(fleet, machine) for machine in fleet.machines]


async def _wait_released(fleet):
    """Waits until no room is held any more."""

    async def released():
        held = [
            await machine.metric(f'{_HELD}{{use="{use}"}}')
            for machine in fleet.machines
            for use in _USES
        ]
        return not any(held)

    await fleet.until(released)


def _check(fleet, quiet, loaded):
    for machine in fleet.machines:
        peak_mb = _memory_mb(machine, "VmHWM")
        print(f"{machine.name}: peak {peak_mb:.0f} of {_MEMORY_MB} MiB")
        assert peak_mb < _MEMORY_MB
        assert machine.process.returncode is None
    for before, beside in zip(quiet, loaded, strict=True):
        print(
            f"small calls: p99 {before.p99_ms():.0f} ms, beside "
            f"{beside.p99_ms():.0f} ms ({len(beside.took_s)} calls)"
        )
        assert set(beside.statuses) == {200}


async def test_uploads_and_slow_readers_leave_the_memory_to_small_calls(
    tmp_path,
):
    # Three uploads within the limit ended a daemon and all its connections.
    async with _running(tmp_path) as fleet:
        quiet = _small(fleet)
        await _beside(quiet, asyncio.sleep(_QUIET_S))
        loaded = _small(fleet)
        work = asyncio.gather(
            *(
                _upload(fleet, machine, number)
                for machine in fleet.machines
                for number in range(_UPLOADS)
            ),
            *(
                _leave_midway(machine, number)
                for machine in fleet.machines
                for number in range(_UPLOADS)
            ),
            *(
                _read_slowly(fleet, machine, number)
                for machine in fleet.machines
                for number in range(_SLOW_READERS)
            ),
        )
        results = await _beside(loaded, work)
        _check(fleet, quiet, loaded)
        uploads = results[: 2 * _UPLOADS]
        assert set(uploads) <= {200, 503}
        assert 200 in uploads
        answers = results[-2 * _SLOW_READERS :]
        # What was answered is whole; what had no room was refused or late.
        assert all(whole for status, whole in answers if status == 200)
        assert {status for status, _ in answers} <= {200, 503, 504}
        await _wait_released(fleet)


async def test_a_body_beyond_the_limit_is_refused_before_it_is_sent(tmp_path):
    async with _running(tmp_path) as fleet:
        machine = fleet.machines[0]
        reader, writer = await asyncio.open_connection(
            machine.host, machine.base
        )
        head = (
            f"POST /posts/x HTTP/1.1\r\nHost: {fleets.HOST}\r\n"
            f"Request-Id: r-1\r\nApi-Key: {fleets.KEY}\r\n"
            f"Content-Length: {_LIMIT_BYTES + 1}\r\n\r\n"
        )
        writer.write(head.encode())
        line = await asyncio.wait_for(reader.readline(), 1.0)
        assert line.split()[1] == b"413"
        writer.close()


def _flood(name):
    def plan(request, answer):
        if not request.target.startswith("/large/"):
            return [answer.data]
        return floods.write(name)

    return plan


async def _call_faulty(fleet, machine, number, left):
    """Calls a faulty server; some callers leave, some have little time."""
    call = fleet.call(
        machine,
        "/large/x",
        f"faulty-{machine.name}-{number}",
        headers={"Deadline-Ms": "300" if number % 3 == 0 else "3000"},
    )
    if number % 3 == 1:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(call, 0.1 * (1 + number % 2))
            left.append(None)
        return None
    status, _, _ = await call
    return status


@pytest.mark.parametrize("name", floods.FLOODS)
async def test_bytes_without_end_of_a_faulty_server_harm_no_other_call(
    tmp_path, name
):
    # The daemon that called it kept them all and ran out of memory.
    async with _running(tmp_path) as fleet:
        for machine in fleet.machines:
            machine.worker.plan = _flood(name)
        quiet = _small(fleet)
        await _beside(quiet, asyncio.sleep(_QUIET_S))
        loaded = _small(fleet)
        answered = []
        work = asyncio.gather(
            *(
                _call_faulty(fleet, machine, number, answered)
                for machine in fleet.machines
                for number in range(_FAULTY_CALLS)
            ),
            asyncio.sleep(_QUIET_S),
        )
        statuses = await _beside(loaded, work)
        _check(fleet, quiet, loaded)
        assert set(statuses) <= {None, 502, 503, 504}
        await _wait_released(fleet)


async def test_a_stop_ends_though_a_faulty_server_writes_without_end(tmp_path):
    async with _running(tmp_path) as fleet:
        machine = fleet.machines[0]
        for one in fleet.machines:
            one.worker.plan = _flood("a body without length")
        left = []
        calls = [
            asyncio.create_task(_call_faulty(fleet, machine, number, left))
            for number in range(_FAULTY_CALLS)
        ]
        await asyncio.sleep(0.05)
        machine.signal(signal.SIGTERM)
        ended = asyncio.create_task(machine.ended())
        for call in calls:
            with contextlib.suppress(aiohttp.ClientError):
                await call
        assert await asyncio.wait_for(ended, 4.5) == 0
