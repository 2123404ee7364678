"""Fuzzing of the decision code."""
