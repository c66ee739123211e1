"""Exception types; each message states the problem and the remedy."""


class SavorybendError(Exception):
    """Base of every error that this package raises."""


class InvalidSettingError(SavorybendError):
    """A flag or environment variable is missing or malformed."""


class InvalidConfigurationError(SavorybendError):
    """A configuration document breaks a rule.

    Attributes:
        path: Location of the invalid value in the document, as a JSON path.
    """

    def __init__(self, path: str, problem: str):
        super().__init__(f"{path}: {problem}")
        self.path = path


class ConflictError(SavorybendError):
    """An object changed since it was read, so the update was not made."""


class PlatformUnavailableError(SavorybendError):
    """The platform did not answer; a write may or may not have happened."""


class InvalidHeaderError(SavorybendError):
    """A header of a request is malformed."""


class InvalidMessageError(SavorybendError):
    """A message from a peer can't be decoded."""


class PeerUnreachableError(SavorybendError):
    """A daemon can't be reached, so the message was not sent."""


class AnswerLostError(SavorybendError):
    """A peer or backend server vanished before its whole answer arrived."""


class AnswerUnusableError(AnswerLostError):
    """What a backend server wrote isn't the answer to the request."""


class InvalidChartError(SavorybendError):
    """A state chart file is invalid, or it lacks a requested transition."""
