"""Leases for tasks of the whole fleet: one holder at a time, by a majority of a few voters.

Pure: ``timing``, ``messages``, ``voter``, ``asker``, ``standing``, ``holds``, ``rates``, ``sets``, ``spec``, ``turns``,
``member``.
I/O: ``part``, ``caller``, ``store``. The design stands in ``docs/notes/leases.md``.
"""
