"""Developer tools: the test runner and its plug-in."""
