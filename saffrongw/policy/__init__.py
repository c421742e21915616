"""The policy: where attempts go, what is retried and what is rejected, without I/O or a clock."""
