"""TLS for clients, and its certificates: obtained and renewed by ACME, swapped while connections go on.

Modules that decide and do no I/O: ``hello.py`` (what a client wants), ``handshakes.py`` (which handshakes may begin),
``lease.py`` (who of many gateways orders), ``renewal.py`` (when, where and after which pause), ``messages.py`` and
``flow.py`` (the protocol of RFC 8555), ``jose.py`` (its signatures), ``chain.py`` (whether a certificate may be put in
service), ``documents.py`` (what is kept between steps). With I/O: ``store.py``, ``http.py``, ``agent.py``,
``front.py``, ``responder.py``; ``part.py`` puts them together.
Loaded only where the operator file has ``[certs]``; ``table.py`` alone is read with every operator file.
"""
