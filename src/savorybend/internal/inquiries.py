"""Asks other daemons what they know of a request, and answers them."""

import asyncio
import collections.abc
import itertools
import typing

from savorybend.internal import calls
from savorybend.internal import errors
from savorybend.internal import journal
from savorybend.internal import peers
from savorybend.internal import records
from savorybend.internal.wire import requests as wire


class _Round:
    """One inquiry to several daemons."""

    def __init__(self, end: asyncio.Future, asked: set[str]):
        self.end = end
        self.asked = asked
        self.heard: list[wire.InquiryReply] = []


class Parts(typing.NamedTuple):
    """What an inquirer is made of.

    Attributes:
        transport: Carries the messages.
        journal: What this daemon saw.
        records: What was dispatched to the backend server on this VM.
    """

    transport: peers.Transport
    journal: journal.Journal
    records: records.Records


class Inquirer:
    """Gives and gathers testimonies."""

    def __init__(self, parts: Parts):
        self._parts = parts
        self._sequence = itertools.count(1)
        self._rounds: dict[int, _Round] = {}
        parts.transport.subscribe(wire.Inquiry, self._on_inquiry)
        parts.transport.subscribe(wire.InquiryReply, self._on_reply)

    async def ask(
        self,
        request_id: str,
        daemons: collections.abc.Iterable[str],
        timeout_s: float,
    ) -> list[wire.InquiryReply]:
        """Returns what daemons say that answer in time.

        Those that never saw the request refuse it from now on.
        """
        sequence = next(self._sequence)
        message = wire.Inquiry(sequence, request_id, forbid=True)
        own = self._parts.transport.name
        asked = set(daemons)
        end = asyncio.get_running_loop().create_future()
        current = _Round(end, asked - {own})
        if own in asked:
            current.heard.append(self._reply_to(message))
        self._rounds[sequence] = current
        try:
            self._send(message, current)
            if current.asked:
                async with asyncio.timeout(timeout_s):
                    await end
        except TimeoutError:
            # Those that gave no word may have run it; the caller decides.
            return current.heard
        finally:
            del self._rounds[sequence]
        return current.heard

    def _send(self, message: wire.Inquiry, current: _Round) -> None:
        for daemon in list(current.asked):
            try:
                self._parts.transport.send(daemon, message)
            except errors.PeerUnreachableError:
                current.asked.discard(daemon)

    def _on_inquiry(self, peer: str, message: wire.Inquiry) -> None:
        reply = self._reply_to(message)
        try:
            self._parts.transport.send(peer, reply)
        except errors.PeerUnreachableError:
            # It gets no word, which it must take for "may have run".
            return

    def _on_reply(self, peer: str, message: wire.InquiryReply) -> None:
        current = self._rounds.get(message.sequence)
        if current is None or peer not in current.asked:
            return
        current.asked.discard(peer)
        current.heard.append(message)
        if not current.asked and not current.end.done():
            current.end.set_result(None)

    def _reply_to(self, message: wire.Inquiry) -> wire.InquiryReply:
        entry = self._parts.journal.get_entry(message.request_id) or None
        record = self._parts.records.find(message.request_id)
        if not record:
            if message.forbid:
                self._parts.records.forbid(message.request_id)
            return wire.InquiryReply(message.sequence, entry)
        running = record.state == "running"
        if running or record.answer is None:
            return wire.InquiryReply(message.sequence, entry, running)
        answer = self._parts.records.answer_of(message.request_id, record)
        kept = _keep(record, answer)
        return wire.InquiryReply(message.sequence, entry, False, kept)


def _keep(record: records.Record, answer: calls.Answer) -> wire.KeptAnswer:
    return wire.KeptAnswer(
        record.fingerprint,
        answer.status,
        answer.headers,
        answer.outcome.value,
        answer.reason,
        answer.decided_by,
        answer.body.whole or b"",
    )


def create_inquirer(parts: Parts) -> Inquirer:
    """Returns the inquirer of a daemon."""
    return Inquirer(parts)
