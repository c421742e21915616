"""A test receiver of the calls that leased tasks make; it rejects outdated fencing tokens."""
