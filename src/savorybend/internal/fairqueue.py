"""A queue ordered by priority, fair share across accounts, and age."""

import collections
import collections.abc
import typing

from savorybend.internal import experiments

# How many accounts without queued calls keep their virtual time.
_MAX_IDLE_ACCOUNTS = 1000
_MAX_SAVED_CALLS = 2.0

_WeightOf = collections.abc.Callable[[str], float]


class Waiter(typing.NamedTuple):
    """A queued call.

    Attributes:
        priority: Priority class; 0 is the most important.
        client_account: Name of the client account that sent it.
        arrived_s: When it was queued, on this VM's clock in seconds.
        deadline_s: When its caller stops waiting, on the same clock.
        token: Opaque data of the queue's owner.
    """

    priority: int
    client_account: str
    arrived_s: float
    deadline_s: float
    token: typing.Any


class _PriorityClass:
    """The waiters of one priority class, with one queue per account.

    This is weighted fair queueing: each account has a virtual time that
    advances by 1/weight for each of its calls taken from the queue, and the
    account with the lowest virtual time goes first. Calls that don't have to
    wait aren't counted, since they delayed no other account.
    """

    def __init__(self, weight_of: _WeightOf):
        self._weight_of = weight_of
        self._virtual_times: dict[str, float] = {}
        self._virtual_now = 0.0
        self.queues: dict[str, collections.deque[Waiter]] = {}
        self.size = 0

    def push(self, name: str, waiter: Waiter) -> None:
        """Adds a waiter to an account's queue."""
        queue = self.queues.get(name)
        if queue is None:
            queue = self.queues[name] = collections.deque()
            least = self._min_virtual_time(name)
            self._virtual_times[name] = max(
                self._virtual_times.get(name, least), least
            )
        queue.append(waiter)
        self.size += 1

    def pop(self, newest_first: bool) -> Waiter:
        """Removes and returns the next waiter to be served."""
        name = min(self.queues, key=self._virtual_times.__getitem__)
        queue = self.queues[name]
        waiter = queue.pop() if newest_first else queue.popleft()
        self._virtual_now = max(self._virtual_now, self._virtual_times[name])
        self._virtual_times[name] += 1 / self._weight_of(name)
        self._note_removal(name)
        return waiter

    def drop(self, newest_first: bool) -> Waiter:
        """Removes and returns the waiter to shed first."""
        name = max(self.queues, key=self._virtual_finish_time)
        queue = self.queues[name]
        waiter = queue.popleft() if newest_first else queue.pop()
        self._note_removal(name)
        return waiter

    def remove(self, name: str, waiter: Waiter) -> bool:
        """Removes a waiter; returns whether it was there."""
        queue = self.queues.get(name)
        if queue is None or waiter not in queue:
            return False
        queue.remove(waiter)
        self._note_removal(name)
        return True

    def _virtual_finish_time(self, name: str) -> float:
        """Returns an account's virtual time after all its queued calls."""
        waiting = len(self.queues[name])
        return self._virtual_times[name] + waiting / self._weight_of(name)

    def _min_virtual_time(self, name: str) -> float:
        """Returns the lowest virtual time that an account may start with.

        An account keeps a credit of up to two unused calls, so that one with
        few calls needn't wait behind all accounts that always have calls
        queued.
        """
        return self._virtual_now - _MAX_SAVED_CALLS / self._weight_of(name)

    def _note_removal(self, name: str) -> None:
        self.size -= 1
        if self.queues[name]:
            return
        del self.queues[name]
        if not self.queues and len(self._virtual_times) > _MAX_IDLE_ACCOUNTS:
            self._virtual_times = {
                known: value
                for known, value in self._virtual_times.items()
                if value > self._min_virtual_time(known)
            }


class FairQueue:
    """Orders waiters by priority, fair share across accounts, and age."""

    def __init__(self, weight_of: _WeightOf, switches: experiments.Switches):
        self._weight_of = weight_of
        self._switches = switches
        self._classes: dict[int, _PriorityClass] = {}

    def __len__(self) -> int:
        return sum(each.size for each in self._classes.values())

    @property
    def waiters(self) -> list[Waiter]:
        """All waiters, in no particular order."""
        return [
            waiter
            for each in self._classes.values()
            for queue in each.queues.values()
            for waiter in queue
        ]

    @property
    def least_important(self) -> int:
        """The least important class that has waiters; the queue isn't empty."""
        return max(n for n, each in self._classes.items() if each.size)

    def count_more_important(self, priority: int) -> int:
        """Returns the number of waiters of more important classes."""
        return sum(
            each.size
            for number, each in self._classes.items()
            if number < priority
        )

    def push(self, waiter: Waiter) -> None:
        """Adds a waiter; waiters of one account must be added by arrival."""
        number = self._class_of(waiter)
        class_queue = self._classes.get(number)
        if class_queue is None:
            class_queue = self._classes[number] = _PriorityClass(
                self._weight_of
            )
        class_queue.push(self._account_of(waiter), waiter)

    def pop(self, newest_first: bool) -> Waiter:
        """Removes and returns the next waiter to be served.

        Args:
            newest_first: Whether an account's newest call goes first, rather
                than its oldest one.
        """
        number = min(n for n, each in self._classes.items() if each.size)
        return self._classes[number].pop(newest_first)

    def drop(self, newest_first: bool) -> Waiter:
        """Removes and returns the waiter to shed first.

        It belongs to the least important class and, there, to the account
        that would exceed its share most if all its queued calls were served.
        Of that account's calls it is the oldest if `newest_first`, otherwise
        the newest.
        """
        return self._classes[self.least_important].drop(newest_first)

    def remove(self, waiter: Waiter) -> bool:
        """Removes a waiter; returns whether it was there."""
        class_queue = self._classes.get(self._class_of(waiter))
        if class_queue is None:
            return False
        return class_queue.remove(self._account_of(waiter), waiter)

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
        weight_of: Returns a client account's fair-share weight, above zero.
        switches: Which overload control mechanisms are enabled.
    """
    return FairQueue(weight_of, switches)
