"""Inquiries between daemons about the state and answer of a request."""

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


class _Inquiry:
    """An inquiry in progress at several daemons.

    Attributes:
        completed: Is resolved once all daemons have replied.
        pending: Names of the daemons that haven't replied yet.
        replies: The replies so far.
    """

    def __init__(self, completed: asyncio.Future, pending: set[str]):
        self.completed = completed
        self.pending = pending
        self.replies: list[wire.InquiryReply] = []


class Parts(typing.NamedTuple):
    """Dependencies of an inquirer.

    Attributes:
        transport: Carries the messages.
        journal: Events of the requests that this daemon saw.
        records: Records of the requests dispatched to this VM's backend
            server.
    """

    transport: peers.Transport
    journal: journal.Journal
    records: records.Records


class Inquirer:
    """Sends inquiries about requests and replies to those of peers."""

    def __init__(self, parts: Parts):
        self._parts = parts
        self._sequence = itertools.count(1)
        self._inquiries: dict[int, _Inquiry] = {}
        parts.transport.subscribe(wire.Inquiry, self._on_inquiry)
        parts.transport.subscribe(wire.InquiryReply, self._on_reply)

    async def ask(
        self,
        request_id: str,
        daemons: collections.abc.Iterable[str],
        timeout_s: float,
    ) -> list[wire.InquiryReply]:
        """Returns the replies that arrive within `timeout_s`.

        A daemon that has no record of the request refuses it from then on. A
        daemon that doesn't reply may have run it.

        Args:
            request_id: The request to ask about.
            daemons: Names of the daemons to ask, which may include this one.
            timeout_s: How long to wait for replies, in seconds.
        """
        sequence = next(self._sequence)
        message = wire.Inquiry(sequence, request_id, forbid=True)
        own = self._parts.transport.name
        pending = set(daemons)
        completed = asyncio.get_running_loop().create_future()
        inquiry = _Inquiry(completed, pending - {own})
        if own in pending:
            inquiry.replies.append(self._reply_to(message))
        self._inquiries[sequence] = inquiry
        try:
            self._send(message, inquiry)
            if inquiry.pending:
                async with asyncio.timeout(timeout_s):
                    await completed
        except TimeoutError:
            # Daemons that didn't reply may have run it; the caller decides.
            return inquiry.replies
        finally:
            del self._inquiries[sequence]
        return inquiry.replies

    def _send(self, message: wire.Inquiry, inquiry: _Inquiry) -> None:
        for daemon in list(inquiry.pending):
            try:
                self._parts.transport.send(daemon, message)
            except errors.PeerUnreachableError:
                inquiry.pending.discard(daemon)

    def _on_inquiry(self, peer: str, message: wire.Inquiry) -> None:
        reply = self._reply_to(message)
        try:
            self._parts.transport.send(peer, reply)
        except errors.PeerUnreachableError:
            # Without a reply, the peer must assume that the request may have
            # run here.
            return

    def _on_reply(self, peer: str, message: wire.InquiryReply) -> None:
        inquiry = self._inquiries.get(message.sequence)
        if inquiry is None or peer not in inquiry.pending:
            return
        inquiry.pending.discard(peer)
        inquiry.replies.append(message)
        if not inquiry.pending and not inquiry.completed.done():
            inquiry.completed.set_result(None)

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
        kept = _create_kept_answer(record, answer)
        return wire.InquiryReply(message.sequence, entry, False, kept)


def _create_kept_answer(
    record: records.Record, answer: calls.Answer
) -> wire.StoredAnswer:
    return wire.StoredAnswer(
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
