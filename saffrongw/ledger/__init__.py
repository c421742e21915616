"""A write-ahead ledger of non-idempotent requests: each attempt is durably recorded, then sent.

``events``, ``entries``, ``explanation`` and ``reconcile`` do no I/O; ``schema``, ``store``,
``reader`` and ``inbox`` are the database and its folder, ``writer`` the one thread that writes;
``request_filter`` delays an attempt until it is recorded. Loaded only where the operator file has
``[ledger]``.
"""
