"""Stand-ins for the outside systems; for tests, demo and bench only."""
