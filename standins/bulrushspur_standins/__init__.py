"""Simulate the services of the platform for tests and the demo."""
