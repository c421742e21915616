"""Hot restart: a new process takes over from the running one while in service."""
