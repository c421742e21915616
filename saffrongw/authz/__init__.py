"""External authorisation over gRPC, as a client of authorisers and as an authoriser.

``checks.py`` and ``breaker.py`` decide and do no I/O, ``attributes.py`` maps requests and replies
to protocol messages; ``channel.py``, ``request_filter.py`` and ``server.py`` do I/O. Loaded only
where the operator file has ``[authz]`` or ``[authz_server]``.
"""
