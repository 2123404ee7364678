"""The demo and the benchmark, both of real entry processes."""
