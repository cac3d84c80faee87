"""Invariant checks fail the operation and say what was found."""

import pytest

from dotterelbridge import invariants
from dotterelbridge.errors import InvariantViolation


def test_check_passes_silently():
    invariants.check(True, "sample")


def test_failed_check_names_rule_and_values():
    with pytest.raises(InvariantViolation) as caught:
        invariants.check(False, "sample", committed_mb=12)
    assert "'sample'" in str(caught.value)
    assert "committed_mb=12" in str(caught.value)
