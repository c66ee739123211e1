"""An inquiry takes the replies to itself only."""

import asyncio

from savorybend.internal import inquiries
from savorybend.internal import journal
from savorybend.internal import records
from savorybend.internal.wire import requests as wire
from tests import fakes

_SHORT_S = 0.01
_LONG_S = 5.0


class _Transport:
    """Keeps what is sent, and delivers what a test says."""

    name = "front-1"

    def __init__(self):
        self.sent = []
        self.handlers = {}

    def subscribe(self, kind, handler):
        self.handlers[kind] = handler

    def send(self, peer, message):
        self.sent.append(message)

    def reply(self, peer, sequence, text):
        answer = wire.StoredAnswer(b"", 200, [], "ran", "", peer, text)
        message = wire.InquiryReply(sequence, None, False, answer)
        self.handlers[wire.InquiryReply](peer, message)


def _create():
    transport = _Transport()
    kept = records.create_records("front-1", fakes.create_clock())
    parts = inquiries.Parts(
        transport, journal.create_journal("front-1", 10), kept
    )
    return transport, inquiries.create_inquirer(parts)


async def test_a_late_reply_is_not_that_to_the_next_inquiry():
    transport, inquirer = _create()
    assert await inquirer.ask("front-1.1.1", ["back-1"], _SHORT_S) == []
    task = asyncio.create_task(
        inquirer.ask("front-1.1.2", ["back-1", "back-2"], _LONG_S)
    )
    await asyncio.sleep(0)
    first, *_, second = [message.sequence for message in transport.sent]
    transport.reply("back-1", first, b"late")
    transport.reply("back-3", second, b"not asked")
    transport.reply("back-1", second, b"one")
    transport.reply("back-1", second, b"once more")
    transport.reply("back-2", second, b"two")
    replies = await task
    assert [reply.answer.data for reply in replies] == [b"one", b"two"]
