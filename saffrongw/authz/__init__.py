"""External authorisation over gRPC: the gateway asks an authoriser, or answers as one.

``checks.py`` and ``breaker.py`` decide and do no I/O, ``attributes.py`` maps requests and replies;
``channel.py``, ``stage.py`` and ``server.py`` do I/O. Loaded only where the operator file has
``[authz]`` or ``[authz_server]``.
"""
