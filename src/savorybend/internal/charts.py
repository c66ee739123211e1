"""State charts, loaded from JSON files.

Charts whose state changes rarely drive a `transitions` machine. Those on a
call's hot path use `Chart.next_state`, since a machine costs more than the
latency budget of a call.
"""

import functools
import importlib.resources
import typing

import msgspec
import transitions

from savorybend.internal import errors


class Transition(msgspec.Struct, frozen=True):
    """A transition between two states of a chart."""

    trigger: str
    source: str
    dest: str


class Chart(msgspec.Struct, frozen=True):
    """States and the transitions between them.

    Attributes:
        states: The names of all states.
        initial: The initial state.
        transitions: The transitions; a source of `*` means any state.
    """

    states: tuple[str, ...]
    initial: str
    transitions: tuple[Transition, ...]

    def next_state(self, state: str, trigger: str) -> str:
        """Returns the state that `trigger` leads to.

        Raises:
            errors.InvalidChartError: The chart has no such transition.
        """
        found = _arrows(self).get((state, trigger))
        if found is None:
            raise errors.InvalidChartError(
                f"state {state!r} has no transition {trigger!r}: add it to the "
                "chart's file or don't trigger it there"
            )
        return found


@functools.lru_cache(maxsize=64)
def _arrows(chart: Chart) -> dict[tuple[str, str], str]:
    arrows = {}
    for arrow in chart.transitions:
        sources = chart.states if arrow.source == "*" else (arrow.source,)
        for source in sources:
            arrows.setdefault((source, arrow.trigger), arrow.dest)
    return arrows


@functools.cache
def load(name: str) -> Chart:
    """Returns the chart in the file `charts/NAME.json`.

    Raises:
        errors.InvalidChartError: The file is missing or malformed.
    """
    folder = importlib.resources.files("savorybend.internal") / "charts"
    try:
        text = (folder / f"{name}.json").read_bytes()
        chart = msgspec.json.decode(text, type=Chart)
    except (OSError, msgspec.MsgspecError) as error:
        raise errors.InvalidChartError(
            f"chart {name!r} can't be read ({error}): fix its JSON file"
        ) from error
    _check(name, chart)
    return chart


def _check(name: str, chart: Chart) -> None:
    known = {*chart.states, "*"}
    for arrow in chart.transitions:
        for state in (arrow.source, arrow.dest):
            if state not in known:
                raise errors.InvalidChartError(
                    f"chart {name!r} names the unknown state {state!r}: "
                    "list it under states"
                )


def create_machine(
    name: str, model: typing.Any, after_change: str | None = None
) -> transitions.Machine:
    """Returns a machine that drives `model` by the chart called `name`.

    Args:
        name: The chart's file name without its extension.
        model: The object that the trigger methods are added to.
        after_change: A method of `model` to call after each transition.
    """
    chart = load(name)
    return transitions.Machine(
        model=model,
        states=list(chart.states),
        initial=chart.initial,
        transitions=[msgspec.structs.asdict(t) for t in chart.transitions],
        auto_transitions=False,
        after_state_change=after_change,
    )
