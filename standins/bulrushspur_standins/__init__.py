"""Simulated platform services (store, workers, advice) for tests and the demo."""
