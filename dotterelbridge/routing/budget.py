"""Budgets that keep retries from multiplying a failure."""

_RETRY_COST = 100


class RetryBudget:
    """Each first attempt earns a share of a retry; a retry costs one.

    Counted in hundredths of a retry.
    """

    def __init__(self, percent: int, reserve: int) -> None:
        self._earned = percent
        self._reserve = reserve * _RETRY_COST
        self._hundredths = self._reserve

    @property
    def tokens(self) -> float:
        """Retries that may be made now."""
        return self._hundredths / _RETRY_COST

    @property
    def has_retry(self) -> bool:
        """Whether a retry is allowed."""
        return self._hundredths >= _RETRY_COST

    def earn(self) -> None:
        """Count a first attempt."""
        self._hundredths = min(self._reserve, self._hundredths + self._earned)

    def spend(self) -> None:
        """Count a retry."""
        self._hundredths -= _RETRY_COST
