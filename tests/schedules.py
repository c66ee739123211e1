"""Fault rules shared by Hypothesis state machines over a fleet of members."""

from hypothesis import stateful
from hypothesis import strategies

_ANY_MEMBER = strategies.runner().flatmap(
    lambda machine: strategies.sampled_from(list(machine.fleet.members))
)


class Faults(stateful.RuleBasedStateMachine):
    """Rules that pause members of `fleet` and cut links between them."""

    @stateful.rule(name=_ANY_MEMBER)
    def freeze(self, name):
        self.fleet.frozen.add(name)

    @stateful.rule(one=_ANY_MEMBER, other=_ANY_MEMBER)
    def cut(self, one, other):
        self.fleet.part([one], [other])

    @stateful.rule()
    def heal(self):
        self.fleet.frozen.clear()
        self.fleet.cut.clear()

    def rejoin(self):
        """Makes members rejoin those they don't see, as `Bootstrap` does."""
        for name, member in self.fleet.members.items():
            for other in self.fleet.members:
                if other not in member.sees():
                    self.fleet.join(name, other)
