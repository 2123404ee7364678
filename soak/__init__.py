"""Randomized soak runs of real entry processes with injected faults."""
