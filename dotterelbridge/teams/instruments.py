"""Metric instruments of teams."""

from dotterelbridge import metrics
from dotterelbridge.teams.model import Team

_NAMES_LIMIT = 100
"""Most names of teams among the label values of one process; teams that come
and go must not add metrics without end."""
_OTHER_TEAM = "other"
_NO_TEAM = ""

requests = metrics.meter.create_counter(
    "dotterelbridge.teams.requests",
    description="Requests with a key that ended, by team and outcome",
)
refusals = metrics.meter.create_counter(
    "dotterelbridge.teams.refusals",
    description="Requests refused as not run while the deployment has teams, "
    "by team and reason; without a known key, the team is empty",
)
_names: set[str] = set()


def get_label(team: Team | None) -> str:
    """Return the label value of a team, from a bounded set."""
    if team is None:
        return _NO_TEAM
    if team.name not in _names:
        if len(_names) >= _NAMES_LIMIT:
            return _OTHER_TEAM
        _names.add(team.name)
    return team.name
