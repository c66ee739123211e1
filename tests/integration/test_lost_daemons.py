"""An idempotent call of a lost daemon is retried elsewhere.

Its non-idempotent child calls still run once.
"""

import asyncio
import collections

import pytest

from standins import site as sites
from tests.integration import started

_SLOW_MS = 1000
_POLL_S = 0.05
_WAIT_LIMIT_S = 20.0
# A daemon that has made no calls before retries at most ten of them; see
# `retryratio`.
_CALLS = 12
# The non-idempotent child call is made before the daemon is lost (early), or
# would be made after that (late).
_MIDDLE_CHILDREN = (
    "/middle/early=POST:/back/adjust",
    "/middle=GET:/front/slow",
    "/middle/late=POST:/back/adjust",
)
_MIDDLE_NAMES = ("middle-1", "middle-2")
_DAEMONS = (
    sites.Worker("front-1", "east", "front", work_ms=_SLOW_MS, slots=32),
    *(
        sites.Worker(
            name, "east", "middle", children=_MIDDLE_CHILDREN, slots=32
        )
        for name in _MIDDLE_NAMES
    ),
    # Two daemons: a single one would recognize a repeated call by its records.
    sites.Worker("back-1", "east", "back", slots=32),
    sites.Worker("back-2", "east", "back", slots=32),
)


def _kill_daemon_and_backend(site):
    for process in ("middle-1", sites.backend_of("middle-1")):
        site.kill(process)


def _freeze_daemon(site):
    site.freeze("middle-1")


async def _resume(site):
    """Resumes the frozen daemon and waits until its calls have ended."""
    site.resume("middle-1")
    async with asyncio.timeout(_WAIT_LIMIT_S):
        while (await site.record("middle-1"))["in_use"]:
            await asyncio.sleep(_POLL_S)


async def _wait_until_in_use(site, count):
    async with asyncio.timeout(_WAIT_LIMIT_S):
        while (await site.record("front-1"))["in_use"] < count:
            await asyncio.sleep(_POLL_S)


async def _send(site, caller, path):
    entry = site.addresses["front-1"].call
    calls = [
        asyncio.create_task(caller.call(entry, path, timeout_s=_WAIT_LIMIT_S))
        for _ in range(_CALLS)
    ]
    await _wait_until_in_use(site, _CALLS)
    return calls


@pytest.mark.parametrize(
    ("fault", "path"),
    [
        (_kill_daemon_and_backend, "/middle/early"),
        (_freeze_daemon, "/middle/early"),
        (_freeze_daemon, "/middle/late"),
    ],
)
async def test_calls_of_a_lost_daemon_run_elsewhere(fault, path):
    async with started.create(_DAEMONS) as (site, caller):
        calls = await _send(site, caller, path)
        fault(site)
        answers = await asyncio.gather(*calls)
        if fault is _freeze_daemon:
            await _resume(site)
        effects = site.effects()
        answer_counts = collections.Counter(
            (a.status, a.outcome) for a in answers
        )
        print(dict(answer_counts), collections.Counter(effects.values()))
        assert answer_counts == {(200, "ran"): _CALLS}
        assert len(effects) == _CALLS
        assert set(effects.values()) == {1}
