"""The sheet: the intended state, and its distribution."""
