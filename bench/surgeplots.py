"""Plots of surges: goodput by the second, under each policy."""

import pathlib

import matplotlib

from bench import surgefigures

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

_WIDTH_IN = 8.0
_HEIGHT_IN = 1.6


def draw(surges: dict[str, surgefigures.Surge], path: pathlib.Path) -> None:
    """Draws one panel for each policy, one below the other."""
    figure, panels = pyplot.subplots(
        len(surges),
        1,
        sharex=True,
        sharey=True,
        squeeze=False,
        figsize=(_WIDTH_IN, _HEIGHT_IN * len(surges) + 0.5),
    )
    for panel, (policy, surge) in zip(
        panels[:, 0], surges.items(), strict=True
    ):
        found = surgefigures.bins(surge)
        panel.plot([asked for asked, _ in found], color="0.7", label="asked")
        panel.plot([whole for _, whole in found], label="answered whole")
        panel.axhline(
            surge.plan.capacity_per_s(),
            color="0.4",
            linestyle=":",
            label="room",
        )
        panel.axvspan(surge.times.before_s, surge.times.surge_ends_s, alpha=0.1)
        panel.set_title(policy, fontsize=8, loc="left")
    panels[0, 0].legend(fontsize=6, loc="upper right")
    panels[-1, 0].set_xlabel("seconds")
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    pyplot.close(figure)
