"""A ledger of non-idempotent requests: what is to be sent is durable before its first byte leaves.

``events``, ``entries``, ``explanation`` and ``reconcile`` decide and do no I/O; ``schema``,
``store``, ``reader`` and ``inbox`` are the database and its folder, ``writer`` the one thread that
writes, ``request_filter`` what holds an attempt back until it is recorded. Loaded only where the
operator file has ``[ledger]``.
"""
