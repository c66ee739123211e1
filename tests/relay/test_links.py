"""Outcomes of calls when the connection that carries them is lost."""

import asyncio

from savorybend.relay import frames
from savorybend.relay import outcomes
from savorybend.relay import streams
from savorybend.relay import traffic
from tests.relay import linkpairs
from tests.relay import samples


async def test_an_answer_that_was_ready_when_the_connection_broke_arrives():
    async with linkpairs.running_pair() as pair:
        pair.submit(idempotent=False)
        await pair.until(lambda: pair.serving.taken)
        pair.reset()
        pair.serving.taken[0][1](linkpairs.RAN)
        await pair.until(lambda: pair.got)
        assert pair.got == [linkpairs.RAN]
        assert len(pair.serving.taken) == 1


async def test_a_call_under_way_goes_on_over_the_next_connection():
    async with linkpairs.running_pair() as pair:
        pair.submit(idempotent=False)
        await pair.until(lambda: pair.serving.taken)
        pair.reset()
        await asyncio.sleep(0.1)
        pair.serving.taken[0][1](linkpairs.RAN)
        await pair.until(lambda: pair.got)
        assert pair.got == [linkpairs.RAN]


async def test_what_a_restarted_daemon_had_may_have_run():
    async with linkpairs.running_pair() as pair:
        pair.submit(idempotent=False)
        await pair.until(lambda: pair.serving.taken)
        await pair.stop_serving()
        await pair.start(boot=2)
        await pair.until(lambda: pair.got)
        assert isinstance(pair.got[0], outcomes.Lost)


async def test_what_was_never_sent_did_not_run():
    async with linkpairs.running_pair() as pair:
        await pair.until(lambda: pair.link.connected)
        await pair.stop_serving()
        await pair.until(lambda: not pair.link.connected)
        pair.submit(idempotent=False)
        await pair.until(lambda: pair.got)
        assert isinstance(pair.got[0], outcomes.NotRun)


async def test_a_daemon_that_was_just_not_reached_holds_no_further_call():
    # In a network partition each call waited for a connection attempt of its
    # own, 0.6 s each.
    async with linkpairs.running_pair() as pair:
        await pair.until(lambda: pair.link.connected)
        await pair.stop_serving()
        await pair.until(lambda: pair.link.failing)
        pair.submit(idempotent=False)
        assert pair.got == [outcomes.NotRun(outcomes.UNREACHABLE)]


async def test_a_cancelled_call_is_cancelled_at_the_peer():
    async with linkpairs.running_pair() as pair:
        handle = pair.submit()
        await pair.until(lambda: pair.serving.taken)
        handle.cancel()
        await pair.until(lambda: pair.serving.handles[0].cancelled)


async def test_calls_of_an_earlier_start_of_the_sender_are_cancelled():
    async with linkpairs.running_pair() as pair:
        pair.submit()
        await pair.until(lambda: pair.serving.taken)
        pair.restart_sender()
        await pair.until(lambda: pair.serving.handles[0].cancelled)


async def test_answers_are_forgotten_once_they_are_acknowledged():
    async with linkpairs.running_pair() as pair:
        for _ in range(20):
            pair.submit()
        await pair.until(lambda: len(pair.serving.taken) == 20)
        for _, callback in pair.serving.taken:
            callback(linkpairs.RAN)
        await pair.until(lambda: not pair.peer_server._calls)
        assert pair.got == [linkpairs.RAN] * 20


async def test_an_outcome_of_an_earlier_start_answers_no_call_of_its_number():
    async with linkpairs.running_pair() as pair:
        pair.submit(idempotent=False)
        await pair.until(lambda: pair.serving.taken)
        pair.restart_sender()
        pair.submit(idempotent=False)
        await pair.until(lambda: len(pair.serving.taken) == 2)
        pair.serving.taken[0][1](linkpairs.RAN)
        pair.serving.taken[1][1](linkpairs.FAILED)
        await pair.until(lambda: pair.got)
        await asyncio.sleep(0.05)
        assert pair.got == [linkpairs.FAILED]


async def test_an_outcome_of_an_earlier_start_ends_no_call_of_its_number():
    # Numbers begin anew, and the call that had the number was forgotten.
    async with linkpairs.running_pair() as pair:
        pair.submit(idempotent=False)
        await pair.until(lambda: pair.serving.taken)
        pair.restart_sender()
        pair.submit(idempotent=False)
        await pair.until(lambda: len(pair.serving.taken) == 2)
        pair.serving.taken[0][1](linkpairs.RAN)
        pair.peer_server.sweep()
        assert pair.peer_server.busy == 1
        pair.reset()
        await asyncio.sleep(0.1)
        pair.serving.taken[1][1](linkpairs.FAILED)
        await pair.until(lambda: pair.got)
        assert pair.got == [linkpairs.FAILED]


async def test_a_sender_that_learns_of_a_later_boot_is_promised_nothing():
    # The clock was set back before its start, and the store says so.
    async with linkpairs.running_pair() as pair:
        pair.submit(idempotent=False)
        await pair.until(lambda: pair.serving.taken)
        pair.sender.statement = samples.statement("a", port=1, boot=9)
        pair.reset()
        await pair.until(lambda: pair.got)
        assert pair.got == [outcomes.Lost(outcomes.DAEMON_LOST)]


async def _greet(port, *boots):
    """Greets a peer server as starts of the sender, on new connections."""
    loop = asyncio.get_running_loop()
    greeting = []
    for boot in boots:
        _, stream = await loop.create_connection(
            lambda: streams.Stream(
                lambda *said: None,
                lambda ended: None,
                traffic.create_traffic(),
                linkpairs.RESERVE,
            ),
            "127.0.0.1",
            port,
        )
        stream.send(frames.Hello(samples.statement("a", boot=boot), 0))
        greeting.append(stream)
    for stream in greeting:
        stream._flush()


async def test_a_late_greeting_of_an_earlier_start_makes_no_run_unrun():
    # A greeting that was lost on its way is sent again by the kernel, also
    # after its process has ended.
    async with linkpairs.running_pair() as pair:
        pair.restart_sender()
        pair.submit(idempotent=False)
        await pair.until(lambda: pair.serving.taken)
        await _greet(pair.port, 1)
        await pair.until(lambda: pair.got)
        assert pair.got == [outcomes.Lost(outcomes.DAEMON_LOST)]
        assert len(pair.serving.taken) == 1


async def test_late_greetings_of_two_earlier_starts_make_no_run_unrun():
    async with linkpairs.running_pair() as pair:
        pair.sender.statement = samples.statement("a", port=1, boot=9)
        pair.reset()
        pair.submit(idempotent=False)
        await pair.until(lambda: pair.serving.taken)
        await _greet(pair.port, 1, 2)
        await pair.until(lambda: pair.got)
        assert pair.got == [outcomes.Lost(outcomes.DAEMON_LOST)]


async def test_an_answered_call_of_an_earlier_start_ends_none_of_its_number():
    # The sweep removed the call that had the number by then.
    async with linkpairs.running_pair() as pair:
        pair.submit(idempotent=False)
        await pair.until(lambda: pair.serving.taken)
        pair.serving.taken[0][1](linkpairs.RAN)
        await pair.until(lambda: pair.got)
        pair.restart_sender()
        pair.submit(idempotent=False)
        await pair.until(lambda: len(pair.serving.taken) == 2)
        pair.peer_server.sweep()
        assert pair.peer_server.busy == 1
        pair.serving.taken[1][1](linkpairs.FAILED)
        await pair.until(lambda: len(pair.got) == 2)
        assert pair.got == [linkpairs.RAN, linkpairs.FAILED]


async def test_an_acknowledged_answer_behind_a_retained_one_is_released():
    # The list of finished calls kept its body.
    async with linkpairs.running_pair() as pair:
        for _ in range(2):
            pair.submit()
        await pair.until(lambda: len(pair.serving.taken) == 2)
        for _, callback in pair.serving.taken:
            callback(linkpairs.RAN)
        await pair.until(lambda: len(pair.got) == 2)
        first, second = pair.peer_server._finished
        pair.peer_server._forget(second[0])
        pair.peer_server.sweep()
        assert [one.outcome for _, one in pair.peer_server._finished] == [
            linkpairs.RAN,
            None,
        ]
        assert first[1].outcome == linkpairs.RAN
