"""Command-line client for the operators of a cell."""
