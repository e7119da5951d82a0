"""The retry budgets of one daemon: one for each target group.

Failures in one group must not use up what others may retry.
"""

from lycheepost.core.ids import RequestId, TargetGroupId
from lycheepost.decide.records import Work
from lycheepost.decide.retry import RetryBudget, RetryTerms


class RetryBudgets:
    """The budgets of all target groups.

    Args:
        terms: The limits on retries in each group.

    Attributes:
        terms: These limits.
    """

    def __init__(self, terms: RetryTerms) -> None:
        self.terms = terms
        self._budgets: dict[TargetGroupId, RetryBudget] = {}

    def set_terms(self, terms: RetryTerms) -> None:
        """Set the limits of every group."""
        self.terms = terms
        for budget in self._budgets.values():
            budget.set_terms(terms)

    def of(self, target_group: TargetGroupId) -> RetryBudget:
        """Return the budget of one group."""
        budget = self._budgets.get(target_group)
        if budget is None:
            budget = RetryBudget(self.terms)
            self._budgets[target_group] = budget
        return budget

    def reserve(self, work: Work, now_seconds: float) -> bool:
        """Take one retry for a request that is still to be sent."""
        return self.of(work.target_group).reserve(work.request, now_seconds)

    def note_sent(self, request: RequestId, now_seconds: float) -> None:
        """Count a reserved retry from now on, when it is sent."""
        for budget in self._budgets.values():
            budget.note_sent(request, now_seconds)

    def note_not_sent(self, request: RequestId) -> None:
        """Take a retry for reserved again, as it did not reach a target."""
        for budget in self._budgets.values():
            budget.note_not_sent(request)

    def give_back(self, request: RequestId) -> None:
        """Return a reserved retry that was not sent."""
        for budget in self._budgets.values():
            budget.give_back(request)

    def status(self, now_seconds: float) -> dict[str, object]:
        """Return the counts of each group, for the status page."""
        return {
            name: budget.status(now_seconds) for name, budget in self._budgets.items()
        }
