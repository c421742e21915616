"""The policy: which endpoint gets an attempt, whether to retry, and what is rejected. No I/O, no clock."""
