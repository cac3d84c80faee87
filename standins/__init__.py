"""Small fakes of the systems around dotterelbridge."""
