"""Specifications of the core protocol, and their checker."""
