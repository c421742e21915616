"""A ledger of unrepeatable requests: what was about to be sent is durable before its first byte can leave.

``entries.py`` and ``reconcile.py`` decide and do no I/O; ``store.py`` is the database, ``writer.py`` its one thread,
``gate.py`` what holds a send until it is written down. Loaded only where the operator file has ``[ledger]``.
"""
