"""Measurements of the scheduler."""
