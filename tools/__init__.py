"""Provide the test runner and its plug-in."""
