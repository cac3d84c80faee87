"""Errors of charges to quotas."""

from datetime import timedelta

from dotterelbridge.errors import RequestRefused


class QuotaRefused(RequestRefused):
    """A request was not charged, and must not run."""

    def __init__(
        self,
        problem: str,
        remedy: str,
        retry_after: timedelta,
        units: float = 0.0,
    ) -> None:
        """Create the error of a request that counts as ``units``."""
        super().__init__(problem, remedy)
        self.retry_after = retry_after
        self.units = units


class QuotaExceeded(QuotaRefused):
    """The team has used its quota; for status 429."""


class QuotaUnavailable(QuotaRefused):
    """Whether the team has credit left could not be found out; for 503."""
