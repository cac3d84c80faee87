"""Budgets that keep retries from multiplying a failure."""


class RetryBudget:
    """Each first attempt earns a share of a retry; a retry costs one."""

    def __init__(self, percent: int, reserve: int) -> None:
        self._earned = percent / 100
        self._reserve = float(reserve)
        self._tokens = self._reserve

    @property
    def tokens(self) -> float:
        """Retries that may be made now."""
        return self._tokens

    @property
    def has_retry(self) -> bool:
        """Whether a retry is allowed."""
        return self._tokens >= 1.0

    def earn(self) -> None:
        """Count a first attempt."""
        self._tokens = min(self._reserve, self._tokens + self._earned)

    def spend(self) -> None:
        """Count a retry."""
        self._tokens -= 1.0
