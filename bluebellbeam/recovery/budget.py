"""Budgets that limit retries and hedged attempts to a share of the requests."""

__all__ = ["Budget", "add_credit", "make_budget", "set_burst", "take_credit"]


class Budget:
    """A token bucket of extra attempts, filled by the first attempts of requests.

    Attributes
    ----------
    share : float
        Extra attempts credited for each first attempt.
    level : float
        Extra attempts available.
    burst : float
        Largest level.
    refused : int
        Number of extra attempts refused for lack of credit.
    """

    __slots__ = ("share", "level", "burst", "refused")

    def __init__(self, share, burst):
        self.share = share
        self.level = burst
        self.burst = burst
        self.refused = 0


def make_budget(share, burst=10.0):
    """Return a full budget credited with `share` for each first attempt."""
    return Budget(share, burst)


def set_burst(budget, burst):
    """Set the largest level of the budget, and lower a higher level to it."""
    budget.burst = burst
    budget.level = min(budget.level, burst)


def add_credit(budget):
    """Credit the budget for one first attempt."""
    budget.level = min(budget.burst, budget.level + budget.share)


def take_credit(budget):
    """Take one extra attempt from the budget; return False when it has none left."""
    if budget.level < 1.0:
        budget.refused += 1
        return False
    budget.level -= 1.0
    return True
