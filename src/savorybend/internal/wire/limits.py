"""Messages that entrust parts of rate limits and lend tokens from them."""

import msgspec

# Sentinels for `lent_under`, outside the range of configuration versions.
NEVER_LENT = 0
LENT_UNKNOWN = 2**62


class Part(msgspec.Struct, frozen=True, array_like=True):
    """A part of a data centre's share of every client account's rate.

    Attributes:
        index: Index of the part.
        serial: Serial number of the grant; increases with each new owner.
        lent_under: The newest configuration version under which earlier
            owners or allocators may have lent from the part. All of them have
            released it unless this is `LENT_UNKNOWN`.
    """

    index: int
    serial: int
    lent_under: int = LENT_UNKNOWN

    @property
    def grant(self) -> tuple[int, int]:
        """The index and the serial number, which identify the grant."""
        return self.index, self.serial


class Entrust(
    msgspec.Struct, frozen=True, array_like=True, tag="limits.entrust"
):
    """Entrusts an owner's parts to an allocator for a short time.

    Attributes:
        owner_incarnation: The owner's incarnation.
        allocator_incarnation: Incarnation of the allocator that issued
            `stamp_s`; zero for none.
        stamp_s: The newest stamp that the owner received from the allocator.
        sent_s: The owner's clock in seconds, returned in the reply.
        parts: The entrusted parts.
        released: Parts that the owner has permanently released.
        idle_s: How long nobody could lend from the parts, in seconds.
    """

    owner_incarnation: int
    allocator_incarnation: int
    stamp_s: float
    sent_s: float
    parts: tuple[Part, ...] = ()
    released: tuple[Part, ...] = ()
    idle_s: float = 0.0


class Entrusted(
    msgspec.Struct, frozen=True, array_like=True, tag="limits.entrusted"
):
    """Answers `Entrust`, or informs a daemon of parts granted to it.

    Attributes:
        owner_incarnation: Incarnation of the owner that is answered.
        allocator_incarnation: The allocator's incarnation.
        stamp_s: The allocator's clock in seconds, returned in the next
            `Entrust`.
        sent_s: `sent_s` of the `Entrust` answered; zero where there is none.
        age_s: Age of the allocator's copy of the ledger, in seconds.
        parts: The parts that the ledger grants the owner.
    """

    owner_incarnation: int
    allocator_incarnation: int
    stamp_s: float
    sent_s: float
    age_s: float
    parts: tuple[Part, ...] = ()


class Withdraw(
    msgspec.Struct, frozen=True, array_like=True, tag="limits.withdraw"
):
    """Takes an owner's parts back, to entrust them to another allocator.

    Attributes:
        owner_incarnation: The owner's incarnation.
        sent_s: The owner's clock in seconds, returned in the reply.
        parts: The withdrawn parts.
    """

    owner_incarnation: int
    sent_s: float
    parts: tuple[Part, ...]


class Withdrawn(
    msgspec.Struct, frozen=True, array_like=True, tag="limits.withdrawn"
):
    """Answers `Withdraw`: no tokens are on loan from those parts any more.

    Attributes:
        owner_incarnation: Incarnation of the owner that is answered.
        allocator_incarnation: The allocator's incarnation.
        sent_s: `sent_s` of the `Withdraw` answered.
        parts: The parts of the `Withdraw` answered.
        lent_under: The newest configuration version under which this
            allocator lent from the parts.
    """

    owner_incarnation: int
    allocator_incarnation: int
    sent_s: float
    parts: tuple[Part, ...]
    lent_under: int


class LoanRequest(msgspec.Struct, frozen=True, array_like=True):
    """Requests tokens of one client account.

    Attributes:
        sequence: Identifies the request, so that no loan is counted twice.
        client_account: The client account.
        tokens: Number of tokens needed.
        spare: Number of further tokens that would be spent before they expire,
            to be lent only if there are enough.
    """

    sequence: int
    client_account: str
    tokens: int
    spare: int = 0


class Loan(msgspec.Struct, frozen=True, array_like=True):
    """Lends tokens of one client account.

    Attributes:
        sequence: Sequence number of the `LoanRequest` answered.
        client_account: The client account.
        tokens: Number of tokens lent; each may be spent once.
        valid_s: How long the tokens are valid, in seconds from the sending of
            the request.
        retry_after_s: Seconds after which to request again if too few tokens
            were lent.
    """

    sequence: int
    client_account: str
    tokens: int
    valid_s: float
    retry_after_s: float


class TokenRequest(
    msgspec.Struct, frozen=True, array_like=True, tag="limits.request"
):
    """Requests tokens of one or more client accounts from an allocator."""

    asks: tuple[LoanRequest, ...]


class TokenLoan(
    msgspec.Struct, frozen=True, array_like=True, tag="limits.loan"
):
    """Answers some requests of a `TokenRequest`; others may follow later."""

    loans: tuple[Loan, ...]


Message = Entrust | Entrusted | Withdraw | Withdrawn | TokenRequest | TokenLoan
MESSAGE_TYPES = (
    Entrust,
    Entrusted,
    Withdraw,
    Withdrawn,
    TokenRequest,
    TokenLoan,
)
