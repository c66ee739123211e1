"""`savorybendctl request show` agrees with the caller through each fault."""

import asyncio

import pytest
import pytest_asyncio

from standins import proxy
from standins import site as sites
from tests.integration import started

pytestmark = pytest.mark.asyncio(loop_scope="module")

_WORK_S = 0.3
_WORKERS = (
    sites.Worker("front-1", "east", "front"),
    sites.Worker("back-1", "east", "back", work_ms=_WORK_S * 1000),
)
_FAULTS = (
    proxy.Fault.CUT,
    proxy.Fault.SILENT,
    proxy.Fault.SILENT_UP,
    proxy.Fault.SILENT_DOWN,
)


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def site_and_caller():
    async with started.create(_WORKERS, proxied=True) as both:
        yield both


async def _show(site, request_id):
    code, output = await site.ctl("request", "show", request_id)
    assert code == 0, output
    [line] = [ln for ln in output.splitlines() if ln.startswith("outcome ")]
    return line.removeprefix("outcome").strip(), output


async def _call_during(site, person, fault, timeout_s):
    """Sends a call, applies a fault while it runs, returns the result."""
    call = asyncio.create_task(
        person.call(
            site.addresses["front-1"].call, "/back", timeout_s=timeout_s
        )
    )
    await asyncio.sleep(_WORK_S / 3)
    fault()
    return await call


@pytest.mark.parametrize("fault", _FAULTS)
async def test_a_request_whose_connection_failed_is_shown_as_it_ended(
    site, maruyama, fault
):
    def fail():
        for each in site.proxies.values():
            each.inject(fault, affects_new=False)

    result = await _call_during(site, maruyama, fail, timeout_s=5.0)
    told, output = await _show(site, result.request_id)
    assert result.outcome == "ran"
    assert told == "ran"
    assert "back-1  dispatched" in output


async def test_an_answer_given_while_the_way_is_cut_arrives_later(
    site, maruyama
):
    def cut():
        for worker in _WORKERS:
            site.cut(worker.name)

    call = asyncio.create_task(_call_during(site, maruyama, cut, timeout_s=5.0))
    # The backend server's answer finds no connection, old or new.
    await asyncio.sleep(2 * _WORK_S)
    assert not call.done()
    for worker in _WORKERS:
        site.heal(worker.name)
    result = await call
    told, output = await _show(site, result.request_id)
    assert result.outcome == "ran"
    assert told == "ran"
    assert "back-1  dispatched" in output


async def test_a_request_beside_a_frozen_daemon_is_in_doubt_until_it_resumes(
    site, maruyama
):
    result = await _call_during(
        site, maruyama, lambda: site.freeze("back-1"), timeout_s=1.0
    )
    assert (result.outcome, result.reason) == ("unknown", "too-late")
    told, output = await _show(site, result.request_id)
    site.resume("back-1")
    assert told == "unknown (too-late)"
    assert "not reached: back-1" in output
    # Its own word is what tells the support engineer where to look.
    told, output = await _show(site, result.request_id)
    assert told in ("ran", "unknown (too-late)")
    assert "back-1  dispatched" in output
    assert "not reached" not in output
