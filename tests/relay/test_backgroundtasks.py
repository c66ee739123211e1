"""Background tasks: errors are seen, and all end with the daemon."""

import asyncio

import structlog

from savorybend.relay import backgroundtasks


async def _fail():
    raise RuntimeError("a mistake")


async def test_an_error_in_one_task_is_logged_and_ends_no_other():
    tasks = backgroundtasks.create_background_tasks()
    ended = asyncio.Event()

    async def work():
        await asyncio.sleep(0.01)
        ended.set()

    with structlog.testing.capture_logs() as lines:
        tasks.start(work())
        tasks.start(_fail())
        async with asyncio.timeout(5.0):
            await ended.wait()
    assert [line["event"] for line in lines] == ["task_failed"]


async def test_cancelled_tasks_end_without_a_line():
    tasks = backgroundtasks.create_background_tasks()
    cancelled = asyncio.Event()

    async def work():
        try:
            await asyncio.sleep(60.0)
        finally:
            cancelled.set()

    with structlog.testing.capture_logs() as lines:
        tasks.start(work())
        await asyncio.sleep(0)
        tasks.cancel()
        async with asyncio.timeout(5.0):
            await cancelled.wait()
        await asyncio.sleep(0)
    assert lines == []
