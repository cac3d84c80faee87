"""Routes callers' requests to the targets that the platform lists."""
