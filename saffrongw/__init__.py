"""saffrongw: the api gateway on real sockets round the decisions of ``orchidlane``."""
