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


class Testimony(
    msgspec.Struct, frozen=True, array_like=True, tag="requests.testimony"
):
    """Says what a daemon knows of a request.

    Attributes:
        sequence: The inquiry that this answers.
        entry: The journal's entry, or None for a request never seen.
    """

    sequence: int
    entry: journal.Entry | None


Message = Inquiry | Testimony
