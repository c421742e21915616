"""saffrongw: the api gateway on real sockets round the decisions of ``orchidlane``."""

__version__ = "0.2.0"
