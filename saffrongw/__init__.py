"""saffrongw: a quota-keeping API gateway."""

__version__ = "0.2.0"
