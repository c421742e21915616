"""saffrongw: an API gateway that enforces quotas."""

__version__ = "0.2.0"
