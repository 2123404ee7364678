"""Fuzz tests of the scheduler's decisions, in a simulated cell."""
