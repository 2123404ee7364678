"""Judge what clients and workers saw by the users' rules."""
