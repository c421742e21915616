"""What was seen, and what the rules say of it."""
