"""The process that runs on every entry VM."""
