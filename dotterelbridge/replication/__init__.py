"""A replicated log (Raft) with durable storage."""
