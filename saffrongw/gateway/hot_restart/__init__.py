"""Hot restart: a new process takes over from the running one without refusing a client."""
