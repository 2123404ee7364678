"""The command-line client of the operators."""
