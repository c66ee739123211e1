"""Messages about requests: inquiries, backend deaths and departures."""

import msgspec

from savorybend.internal import journal


class Inquiry(
    msgspec.Struct, frozen=True, array_like=True, tag="requests.inquiry"
):
    """Requests a daemon's journal entry and stored answer for a request.

    Attributes:
        sequence: Sequence number of the sender's inquiry.
        request_id: The request's ID.
        forbid: Whether the daemon must refuse the request from now on if it
            has never received it.
    """

    sequence: int
    request_id: str
    forbid: bool


class StoredAnswer(msgspec.Struct, frozen=True, array_like=True):
    """The stored answer of a completed request; see `calls.Answer`.

    Attributes:
        fingerprint: Digest of the content of the request that it answers.
    """

    fingerprint: bytes
    status: int
    headers: list[tuple[str, str]]
    outcome: str
    reason: str
    decided_by: str
    data: bytes


class InquiryReply(
    msgspec.Struct, frozen=True, array_like=True, tag="requests.reply"
):
    """Answers an `Inquiry`.

    Attributes:
        sequence: Sequence number of the inquiry.
        entry: The journal's entry; None if it has none for the request.
        running: Whether this VM's backend server is executing the request.
        answer: The stored answer, if this VM's backend server completed the
            request.
    """

    sequence: int
    entry: journal.Entry | None
    running: bool = False
    answer: StoredAnswer | None = None


class Death(msgspec.Struct, frozen=True, array_like=True, tag="requests.death"):
    """Reports that a backend server died while it executed a request.

    Attributes:
        fingerprint: Digest of the request's content.
        sequence: Sequence number among the deaths that its observer saw.
        seen_by: Name of the daemon that observed it; empty for the sender.
        age_s: Time since it was observed, in seconds.
    """

    fingerprint: bytes
    sequence: int
    seen_by: str = ""
    age_s: float = 0.0


class Cleared(
    msgspec.Struct, frozen=True, array_like=True, tag="requests.cleared"
):
    """Reports an answer to a request during which another server had died.

    Attributes:
        fingerprint: Digest of the request's content.
        deaths: The deaths that no longer count, as pairs of `seen_by` and
            `sequence`; empty for all that the receiver knows.
    """

    fingerprint: bytes
    deaths: list[tuple[str, int]] = []


class UnusedIds(msgspec.Struct, frozen=True, array_like=True):
    """Request IDs of one client account that were issued but never started."""

    client_account: str
    sequences: list[int]


class Departure(
    msgspec.Struct, frozen=True, array_like=True, tag="requests.departure"
):
    """Lists the request IDs that a departing daemon will never start.

    Attributes:
        incarnation: The incarnation that issued the IDs.
        unused: The unused IDs, by client account.
    """

    incarnation: int
    unused: list[UnusedIds]


Message = Inquiry | InquiryReply | Death | Cleared | Departure
