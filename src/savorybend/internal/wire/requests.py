"""Messages by which daemons ask one another about a request."""

import msgspec

from savorybend.internal import journal


class Inquiry(
    msgspec.Struct, frozen=True, array_like=True, tag="requests.inquiry"
):
    """Asks what a daemon knows of a request.

    Attributes:
        sequence: Counts the sender's inquiries.
        request_id: The request.
        forbid: Whether the daemon must refuse the request from now on if it
            has never seen it.
    """

    sequence: int
    request_id: str
    forbid: bool


class StoredAnswer(msgspec.Struct, frozen=True, array_like=True):
    """The answer of a request that is over; see `calls.Answer`.

    Attributes:
        fingerprint: Of the request that it answers.
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
    """Says what a daemon knows of a request.

    Attributes:
        sequence: The inquiry that this answers.
        entry: The journal's entry, or None for a request never seen.
        running: Whether the request runs beside this daemon now.
        answer: Its answer, if it ran beside this daemon and is over.
    """

    sequence: int
    entry: journal.Entry | None
    running: bool = False
    answer: StoredAnswer | None = None


class Death(msgspec.Struct, frozen=True, array_like=True, tag="requests.death"):
    """A backend server died under a request.

    Attributes:
        fingerprint: Of the request's content.
        sequence: Counts the deaths that the sender saw.
    """

    fingerprint: bytes
    sequence: int


class Cleared(
    msgspec.Struct, frozen=True, array_like=True, tag="requests.cleared"
):
    """A backend server answered a request that another one died under."""

    fingerprint: bytes


class UnusedIds(msgspec.Struct, frozen=True, array_like=True):
    """IDs of one client account that were issued and never started."""

    client_account: str
    sequences: list[int]


class Departure(
    msgspec.Struct, frozen=True, array_like=True, tag="requests.departure"
):
    """Says which of its IDs a daemon never started, and now never will.

    Attributes:
        incarnation: The incarnation that issued them.
        unused: The IDs.
    """

    incarnation: int
    unused: list[UnusedIds]


Message = Inquiry | InquiryReply | Death | Cleared | Departure
