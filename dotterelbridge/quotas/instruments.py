"""Metrics of quotas."""

from dotterelbridge import metrics

_TEAMS_LIMIT = 64
"""Teams with values of their own in metrics; others share one."""
_OTHER_TEAM = "other"

_units = metrics.meter.create_counter(
    "dotterelbridge.quotas.units",
    description="Units of teams with a quota, by team and verdict: charged, "
    "overdrawn (charged while no leader answered), refunded, refused (429), "
    "unavailable (503)",
)
_requests = metrics.meter.create_counter(
    "dotterelbridge.quotas.requests",
    description="Requests of teams with a quota, by team and verdict",
)
waits = metrics.create_latency_histogram(
    "dotterelbridge.quotas.wait",
    "Time that requests waited for credit",
)
_teams: set[str] = set()


def count(team: str, verdict: str, units: float) -> None:
    """Count one request and its units."""
    if team not in _teams:
        if len(_teams) < _TEAMS_LIMIT:
            _teams.add(team)
        else:
            team = _OTHER_TEAM
    labels = {"team": team, "verdict": verdict}
    _units.add(units, labels)
    _requests.add(1, labels)
