"""The queue beside a backend server: priority, then accounts, then age."""

import collections
import collections.abc
import typing

from savorybend.internal import experiments

# Accounts that wait for nothing are remembered up to this number.
_MOST_IDLE = 1000
_SAVED_CALLS = 2.0

_WeightOf = collections.abc.Callable[[str], float]


class Waiter(typing.NamedTuple):
    """A call that waits.

    Attributes:
        priority: 0 goes first.
        client_account: Whose call it is.
        arrived_s: When it began to wait.
        deadline_s: When its caller stops waiting.
        token: What the owner of the queue knows it by.
    """

    priority: int
    client_account: str
    arrived_s: float
    deadline_s: float
    token: typing.Any


class _Class:
    """The waiters of one class, in a queue for each account.

    Each account has a virtual time that advances by 1/weight with each call
    it is given out of the queue; the account furthest behind goes first.
    Calls that needn't wait aren't counted, since they took nothing from
    anybody.
    """

    def __init__(self, weight_of: _WeightOf):
        self._weight_of = weight_of
        self._virtual: dict[str, float] = {}
        self._virtual_now = 0.0
        self.queues: dict[str, collections.deque[Waiter]] = {}
        self.size = 0

    def push(self, name: str, waiter: Waiter) -> None:
        """Adds a waiter to an account's queue."""
        queue = self.queues.get(name)
        if queue is None:
            queue = self.queues[name] = collections.deque()
            least = self._least_of(name)
            self._virtual[name] = max(self._virtual.get(name, least), least)
        queue.append(waiter)
        self.size += 1

    def pop(self, newest_first: bool) -> Waiter:
        """Removes and returns the waiter who goes next."""
        name = min(self.queues, key=self._virtual.__getitem__)
        queue = self.queues[name]
        waiter = queue.pop() if newest_first else queue.popleft()
        self._virtual_now = max(self._virtual_now, self._virtual[name])
        self._virtual[name] += 1 / self._weight_of(name)
        self._removed(name)
        return waiter

    def drop(self, newest_first: bool) -> Waiter:
        """Removes and returns the waiter who matters least."""
        name = max(self.queues, key=self._virtual_end)
        queue = self.queues[name]
        waiter = queue.popleft() if newest_first else queue.pop()
        self._removed(name)
        return waiter

    def remove(self, name: str, waiter: Waiter) -> bool:
        """Removes a waiter; returns whether it was there."""
        queue = self.queues.get(name)
        if queue is None or waiter not in queue:
            return False
        queue.remove(waiter)
        self._removed(name)
        return True

    def _virtual_end(self, name: str) -> float:
        """Returns an account's virtual time once its queue was served."""
        waiting = len(self.queues[name])
        return self._virtual[name] + waiting / self._weight_of(name)

    def _least_of(self, name: str) -> float:
        """Returns how far behind an account can be at most.

        Two calls are saved up of what it didn't use, so that an account which
        asks for little needn't wait behind all of those which always wait.
        """
        return self._virtual_now - _SAVED_CALLS / self._weight_of(name)

    def _removed(self, name: str) -> None:
        self.size -= 1
        if self.queues[name]:
            return
        del self.queues[name]
        if not self.queues and len(self._virtual) > _MOST_IDLE:
            self._virtual = {
                known: value
                for known, value in self._virtual.items()
                if value > self._least_of(known)
            }


class FairQueue:
    """Orders waiters by priority, fair share across accounts, and age."""

    def __init__(self, weight_of: _WeightOf, switches: experiments.Switches):
        self._weight_of = weight_of
        self._switches = switches
        self._classes: dict[int, _Class] = {}

    def __len__(self) -> int:
        return sum(one.size for one in self._classes.values())

    @property
    def waiters(self) -> list[Waiter]:
        """Everyone who waits, in no particular order."""
        return [
            waiter
            for one in self._classes.values()
            for queue in one.queues.values()
            for waiter in queue
        ]

    @property
    def least_important(self) -> int:
        """The least important class that waits."""
        return max(n for n, one in self._classes.items() if one.size)

    def count_more_important(self, priority: int) -> int:
        """Returns how many waiters of more important classes there are."""
        return sum(
            one.size
            for number, one in self._classes.items()
            if number < priority
        )

    def push(self, waiter: Waiter) -> None:
        """Adds a waiter; those of one account are in order of arrival."""
        number = self._class_of(waiter)
        found = self._classes.get(number)
        if found is None:
            found = self._classes[number] = _Class(self._weight_of)
        found.push(self._account_of(waiter), waiter)

    def pop(self, newest_first: bool) -> Waiter:
        """Removes and returns the waiter who goes next.

        Args:
            newest_first: Whether an account's newest call goes before its
                oldest one.
        """
        number = min(n for n, one in self._classes.items() if one.size)
        return self._classes[number].pop(newest_first)

    def drop(self, newest_first: bool) -> Waiter:
        """Removes and returns the waiter who matters least.

        That is one of the least important class, of the account that is most
        ahead of its share, counting what it has waiting; the oldest where
        the newest goes first, and the newest otherwise.
        """
        return self._classes[self.least_important].drop(newest_first)

    def remove(self, waiter: Waiter) -> bool:
        """Removes a waiter; returns whether it was there."""
        found = self._classes.get(self._class_of(waiter))
        if found is None:
            return False
        return found.remove(self._account_of(waiter), waiter)

    def _class_of(self, waiter: Waiter) -> int:
        return waiter.priority if self._switches.priority else 0

    def _account_of(self, waiter: Waiter) -> str:
        return waiter.client_account if self._switches.fairness else ""


def create_fair_queue(
    weight_of: _WeightOf,
    switches: experiments.Switches = experiments.ALL_ON,
) -> FairQueue:
    """Returns an empty queue.

    Args:
        weight_of: Returns a client account's weight, above zero.
        switches: Mechanisms that work.
    """
    return FairQueue(weight_of, switches)
