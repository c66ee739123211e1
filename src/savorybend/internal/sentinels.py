"""Unique values that stand for an absence and say why it is so."""

import typing


class Absence:
    """A value that is not there, with the reason.

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
    """Returns a sentinel called `name` that says `reason`."""
    return Absence(name, reason)
