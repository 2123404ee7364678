"""The entry process, which runs on every entry VM: gateway, and leader if elected."""
