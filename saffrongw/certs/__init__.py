"""TLS for clients, with certificates obtained and renewed by ACME and swapped in service.

Decisions without I/O: ``client_hello`` (what a client asks for), ``handshakes`` (when a
handshake may begin), ``lease`` (which gateway may order), ``renewal`` (when to order, backoff,
alarms), ``messages``, ``acme_steps``, ``acme_session`` and ``order_flow`` (RFC 8555), ``jose`` (its
signatures), ``chain`` (whether a certificate may serve), ``documents`` (state stored between
steps).

The shared folder: ``shared_folder`` (files and lock), ``ordering_lease``, ``account_store``,
``challenge_store``, ``certificate_store``.

In service: ``tls_listener``, ``loaded_certificates``, ``challenge_answers``, ``responder``
(HTTP-01), ``http`` (client of the authority), ``order_runner``, ``certificate_status``,
``renewal_loop``, ``blocking_worker``; ``component`` builds and connects them.

The package is loaded only if the operator file has ``[certs]``; ``table`` alone is read with every
file.
"""
