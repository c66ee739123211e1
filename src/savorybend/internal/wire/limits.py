"""Messages that move rate between daemons."""

import msgspec

# No configuration has a version as low as the one, or as high as the other.
NEVER_LENT = 0
LENT_UNKNOWN = 2**62


class Part(msgspec.Struct, frozen=True, array_like=True):
    """A part of a data centre's share of every account.

    Attributes:
        index: Which part.
        serial: Which grant of it; rises with each new owner.
        lent_under: The newest configuration under which it may have been
            lent from before; its predecessors have let go of it unless this
            is unknown.
    """

    index: int
    serial: int
    lent_under: int = LENT_UNKNOWN

    @property
    def grant(self) -> tuple[int, int]:
        """Which grant of which part."""
        return self.index, self.serial


class Entrust(
    msgspec.Struct, frozen=True, array_like=True, tag="limits.entrust"
):
    """Entrusts an owner's parts to an allocator for a short time.

    Attributes:
        owner_incarnation: The owner's incarnation.
        allocator_incarnation: Whose stamp this carries; zero for none.
        stamp_s: The newest stamp of the allocator that the owner knows.
        sent_s: The owner's clock, returned in the answer.
        parts: What is entrusted.
        released: What the owner has given up for good.
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
    """Answers `Entrust`, and tells a daemon of parts that it was granted.

    Attributes:
        owner_incarnation: The incarnation that is answered.
        allocator_incarnation: The allocator's incarnation.
        stamp_s: The allocator's clock, to be carried by the next `Entrust`.
        sent_s: The clock in the message answered; zero where there is none.
        age_s: How old the allocator's copy of the ledger is, in seconds.
        parts: What the ledger grants the owner.
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
        sent_s: The owner's clock, returned in the answer.
        parts: What is taken back.
    """

    owner_incarnation: int
    sent_s: float
    parts: tuple[Part, ...]


class Withdrawn(
    msgspec.Struct, frozen=True, array_like=True, tag="limits.withdrawn"
):
    """Answers `Withdraw`: nothing of those parts is lent any more.

    Attributes:
        owner_incarnation: The incarnation that is answered.
        allocator_incarnation: The allocator's incarnation.
        sent_s: The clock in the message answered.
        parts: The parts in the message answered.
        lent_under: The newest configuration under which this allocator lent.
    """

    owner_incarnation: int
    allocator_incarnation: int
    sent_s: float
    parts: tuple[Part, ...]
    lent_under: int


class LoanRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks for tokens of one account.

    Attributes:
        sequence: Names the question, so that no loan is counted twice.
        client_account: Whose tokens.
        tokens: How many.
        spare: How many more would be spent in time, if there is plenty.
    """

    sequence: int
    client_account: str
    tokens: int
    spare: int = 0


class Loan(msgspec.Struct, frozen=True, array_like=True):
    """Lends tokens of one account.

    Attributes:
        sequence: The question that this answers.
        client_account: Whose tokens.
        tokens: How many; each may be spent once.
        valid_s: How long they may be spent, in seconds from the question.
        retry_after_s: When to ask again where too few were lent.
    """

    sequence: int
    client_account: str
    tokens: int
    valid_s: float
    retry_after_s: float


class TokenRequest(
    msgspec.Struct, frozen=True, array_like=True, tag="limits.request"
):
    """Asks an allocator for tokens of some accounts."""

    asks: tuple[LoanRequest, ...]


class TokenLoan(
    msgspec.Struct, frozen=True, array_like=True, tag="limits.loan"
):
    """Answers questions of a `TokenRequest`; some may be answered later."""

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
