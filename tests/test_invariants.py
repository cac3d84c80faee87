"""A violated invariant raises an error with the rule and its values."""

import pytest

from dotterelbridge import invariants
from dotterelbridge.errors import InvariantViolation


def test_true_condition_raises_nothing():
    invariants.check(True, "sample")


def test_violation_names_rule_and_values():
    with pytest.raises(InvariantViolation) as caught:
        invariants.check(False, "sample", committed_mb=12)
    assert "'sample'" in str(caught.value)
    assert "committed_mb=12" in str(caught.value)
