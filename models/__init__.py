"""Formal models of the core protocol, and the command that checks them."""
