"""Fuzz the scheduler's decisions in a simulated cell."""
