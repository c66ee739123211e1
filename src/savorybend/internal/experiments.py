"""Switches that turn one mechanism of overload control off at a time.

They exist so that a benchmark can show what each mechanism is worth, and so
that a fault test can be seen to fail without it. No deployment sets them.
"""

import typing


class Switches(typing.NamedTuple):
    """Which mechanisms work.

    Attributes:
        control: Whether calls beside the backend server are held back at all.
        adaptive: Whether the concurrency limit follows measured latency;
            otherwise it is what the backend server announces.
        priority: Whether important calls go first.
        fairness: Whether capacity is shared evenly across client accounts.
        newest: Whether the newest call goes first once the queue stands.
        deadline: Whether calls that can't be answered in time are refused.
        thresholds: Whether admission thresholds are obeyed upstream.
        choice: Whether latency, failures and age count in the choice of a
            backend server.
    """

    control: bool = True
    adaptive: bool = True
    priority: bool = True
    fairness: bool = True
    newest: bool = True
    deadline: bool = True
    thresholds: bool = True
    choice: bool = True


ALL_ON = Switches()


def parse(text: str) -> Switches:
    """Returns the switches with the named mechanisms off.

    Args:
        text: Names of mechanisms with commas between them, or nothing.

    Raises:
        ValueError: A name is unknown; the message lists those that are known.
    """
    names = [name for name in text.split(",") if name]
    for name in names:
        if name not in Switches._fields:
            known = ", ".join(Switches._fields)
            raise ValueError(f"give some of {known}, with commas between them")
    return Switches()._replace(**dict.fromkeys(names, False))
