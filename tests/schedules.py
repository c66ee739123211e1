"""Rules that state machines over a fleet of members share."""

from hypothesis import stateful
from hypothesis import strategies

_ANY = strategies.runner().flatmap(
    lambda machine: strategies.sampled_from(list(machine.fleet.members))
)


class Faults(stateful.RuleBasedStateMachine):
    """Pauses and cuts of the members of `fleet`."""

    @stateful.rule(name=_ANY)
    def freeze(self, name):
        self.fleet.frozen.add(name)

    @stateful.rule(one=_ANY, other=_ANY)
    def cut(self, one, other):
        self.fleet.part([one], [other])

    @stateful.rule()
    def heal(self):
        self.fleet.frozen.clear()
        self.fleet.cut.clear()

    def rejoin(self):
        """Lets members try whom they lost, as `Bootstrap` does."""
        for name, member in self.fleet.members.items():
            for other in self.fleet.members:
                if other not in member.sees():
                    self.fleet.join(name, other)
