"""Stand-ins for the systems around dotterelbridge, for tests and demos."""
