"""Provide the command-line client for the operators of a cell."""
