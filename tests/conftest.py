"""Hypothesis profiles: the same examples in every CI run."""

import os

from hypothesis import HealthCheck
from hypothesis import settings

FUZZ_EXAMPLES = 5000

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
settings.register_profile(
    "fuzz",
    deadline=None,
    max_examples=FUZZ_EXAMPLES,
    print_blob=True,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))
