"""Tests of all packages, with their shared fixtures."""
