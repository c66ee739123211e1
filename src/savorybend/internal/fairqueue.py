"""The queue beside a backend server: priority, then accounts, then age."""

import collections
import collections.abc
import typing

from savorybend.internal import experiments


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


# Accounts that wait for nothing are remembered up to this number.
_MOST_IDLE = 1000

_Account = collections.deque[Waiter]


class FairQueue:
    """Orders waiters by priority, fair share across accounts, and age.

    Each account has a virtual time that advances by 1/weight with each call
    it is given out of the queue, in whatever class; the account furthest
    behind goes first. Calls that needn't wait aren't counted, since they took
    nothing from anybody.
    """

    def __init__(
        self,
        weight_of: collections.abc.Callable[[str], float],
        switches: experiments.Switches,
    ):
        self._weight_of = weight_of
        self._switches = switches
        self._classes: dict[int, dict[str, _Account]] = {}
        self._virtual: dict[str, float] = {}
        self._virtual_now = 0.0
        self._waiting: collections.Counter[str] = collections.Counter()
        self._size = 0

    def __len__(self) -> int:
        return self._size

    @property
    def waiters(self) -> list[Waiter]:
        """Everyone who waits, in no particular order."""
        return [
            waiter
            for accounts in self._classes.values()
            for queue in accounts.values()
            for waiter in queue
        ]

    def ahead_of(self, priority: int) -> int:
        """Returns how many waiters of more important classes there are."""
        return sum(
            len(queue)
            for number, accounts in self._classes.items()
            if number < priority
            for queue in accounts.values()
        )

    def push(self, waiter: Waiter) -> None:
        """Adds a waiter; those of one account are in order of arrival."""
        accounts = self._classes.setdefault(self._class_of(waiter), {})
        name = self._account_of(waiter)
        accounts.setdefault(name, collections.deque()).append(waiter)
        if not self._waiting[name]:
            # An account that was idle starts level with the others: unused
            # capacity is not saved up.
            self._virtual[name] = self._virtual_of(name, self._virtual_now)
        self._waiting[name] += 1
        self._size += 1

    def pop(self, newest_first: bool) -> Waiter:
        """Removes and returns the waiter who goes next.

        Args:
            newest_first: Whether an account's newest call goes before its
                oldest one.
        """
        number = min(self._classes)
        accounts = self._classes[number]
        name = min(accounts, key=self._virtual_of)
        queue = accounts[name]
        waiter = queue.pop() if newest_first else queue.popleft()
        self._removed(number, name)
        self._charge(name)
        return waiter

    def drop(self, newest_first: bool) -> Waiter:
        """Removes and returns the waiter who matters least.

        That is one of the least important class, of the account that is most
        ahead of its share, counting what it has waiting; the oldest where
        the newest goes first, and the newest otherwise.
        """
        number = max(self._classes)
        accounts = self._classes[number]
        name = max(
            accounts,
            key=lambda one: (
                self._virtual_of(one)
                + len(accounts[one]) / self._weight_of(one)
            ),
        )
        queue = accounts[name]
        waiter = queue.popleft() if newest_first else queue.pop()
        self._removed(number, name)
        return waiter

    def remove(self, waiter: Waiter) -> bool:
        """Removes a waiter; returns whether it was there."""
        number, name = self._class_of(waiter), self._account_of(waiter)
        queue = self._classes.get(number, {}).get(name)
        if queue is None or waiter not in queue:
            return False
        queue.remove(waiter)
        self._removed(number, name)
        return True

    def _charge(self, name: str) -> None:
        """Counts a call that an account was given while others waited."""
        if self._switches.fairness:
            self._virtual[name] += 1 / self._weight_of(name)
        if self._waiting:
            self._virtual_now = min(self._virtual[n] for n in self._waiting)
        elif len(self._virtual) > _MOST_IDLE:
            self._virtual = {
                known: value
                for known, value in self._virtual.items()
                if value > self._virtual_now
            }

    def _virtual_of(self, account: str, least: float = 0.0) -> float:
        return max(self._virtual.get(account, least), least)

    def _class_of(self, waiter: Waiter) -> int:
        return waiter.priority if self._switches.priority else 0

    def _account_of(self, waiter: Waiter) -> str:
        return waiter.client_account if self._switches.fairness else ""

    def _removed(self, number: int, name: str) -> None:
        self._size -= 1
        self._waiting[name] -= 1
        if not self._waiting[name]:
            del self._waiting[name]
        accounts = self._classes[number]
        if not accounts[name]:
            del accounts[name]
        if not accounts:
            del self._classes[number]


def create_fair_queue(
    weight_of: collections.abc.Callable[[str], float],
    switches: experiments.Switches = experiments.ALL_ON,
) -> FairQueue:
    """Returns an empty queue.

    Args:
        weight_of: Returns a client account's weight, above zero.
        switches: Mechanisms that work.
    """
    return FairQueue(weight_of, switches)
