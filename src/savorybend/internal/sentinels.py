"""Sentinel values that represent a missing value and state the reason."""

import typing


class Absence:
    """A missing value, with the reason; always false.

    Instances are compared by identity, so each one is created once, at module
    level, beside the function that returns it.
    """

    __slots__ = ("_name", "_reason")

    def __init__(self, name: str, reason: str):
        self._name = name
        self._reason = reason

    @property
    def reason(self) -> str:
        """Why there is no value."""
        return self._reason

    def __repr__(self) -> str:
        return self._name

    def __bool__(self) -> typing.Literal[False]:
        return False


def create(name: str, reason: str) -> Absence:
    """Returns a sentinel with a name, shown by `repr`, and a reason."""
    return Absence(name, reason)
