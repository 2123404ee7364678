"""Model the core protocol formally, and check the models."""
