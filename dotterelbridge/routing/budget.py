"""Retry budgets: they keep retries from amplifying a failure."""

_HUNDREDTHS_PER_RETRY = 100


class RetryBudget:
    """Each first attempt adds a share of a retry; each retry uses one.

    Counted in hundredths of a retry.
    """

    def __init__(self, percent: int, reserve: int) -> None:
        self._hundredths_per_attempt = percent
        self._limit_hundredths = reserve * _HUNDREDTHS_PER_RETRY
        self._available_hundredths = self._limit_hundredths

    @property
    def available_retries(self) -> float:
        """Number of retries currently allowed."""
        return self._available_hundredths / _HUNDREDTHS_PER_RETRY

    @property
    def allows_retry(self) -> bool:
        """Whether a retry is allowed."""
        return self._available_hundredths >= _HUNDREDTHS_PER_RETRY

    def record_first_attempt(self) -> None:
        """Add the share of a retry that a first attempt allows."""
        self._available_hundredths = min(
            self._limit_hundredths,
            self._available_hundredths + self._hundredths_per_attempt,
        )

    def record_retry(self) -> None:
        """Deduct one retry."""
        self._available_hundredths -= _HUNDREDTHS_PER_RETRY
