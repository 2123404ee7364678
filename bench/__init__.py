"""Run the demo and the benchmark with real entry processes."""
