"""Budgets that keep retries and hedges to a share of the requests."""

__all__ = ["Budget", "add_credit", "make_budget", "set_burst", "take_credit"]


class Budget:
    """A bucket filled by a share of each request.

    Attributes
    ----------
    share : float
        Earned for each first attempt.
    level : float
    burst : float
        Highest level.
    refused : int
        Times that nothing was left.
    """

    __slots__ = ("share", "level", "burst", "refused")

    def __init__(self, share, burst):
        self.share = share
        self.level = burst
        self.burst = burst
        self.refused = 0


def make_budget(share, burst=10.0):
    """Return a full budget that earns `share` for each request."""
    return Budget(share, burst)


def set_burst(budget, burst):
    """Change the highest level of the budget."""
    budget.burst = burst
    budget.level = min(budget.level, burst)


def add_credit(budget):
    """Credit the budget for one first attempt."""
    budget.level = min(budget.burst, budget.level + budget.share)


def take_credit(budget):
    """Take one extra attempt from the budget; return whether there was one."""
    if budget.level < 1.0:
        budget.refused += 1
        return False
    budget.level -= 1.0
    return True
