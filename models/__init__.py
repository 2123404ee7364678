"""Specifications of the core protocol."""
