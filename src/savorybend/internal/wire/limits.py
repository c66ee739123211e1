"""Messages that move rate between daemons."""

import msgspec


class TokenRequest(
    msgspec.Struct, frozen=True, array_like=True, tag="limits.request"
):
    """Asks the allocator of a data centre for tokens.

    Attributes:
        epoch: The allocator's epoch as the asking daemon knows it.
        sequence: Counts the asking daemon's requests, so that a repeated
            message is not granted twice.
        client_account: Whose tokens.
        tokens: How many.
    """

    epoch: int
    sequence: int
    client_account: str
    tokens: float


class TokenLoan(
    msgspec.Struct, frozen=True, array_like=True, tag="limits.loan"
):
    """Lends tokens.

    Attributes:
        epoch: The allocator's epoch.
        sequence: The request that this answers.
        client_account: Whose tokens.
        tokens: How many; each may be spent once.
        valid_s: How long they may be spent, in seconds from the request.
        retry_after_s: When to ask again where too few were lent.
    """

    epoch: int
    sequence: int
    client_account: str
    tokens: float
    valid_s: float
    retry_after_s: float


Message = TokenRequest | TokenLoan
