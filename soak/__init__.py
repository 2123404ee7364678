"""Soak real entry processes under random load and faults."""
