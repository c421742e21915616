"""Leases for tasks of the whole fleet: one holder at a time, by a majority of a few voters.

Decisions, without I/O: ``timing``, ``gateway_id``, ``messages``, ``spec``, ``lease_record``,
``rejections``, ``acceptor``, ``claim``, ``proposer``, ``candidates``, ``suspensions``,
``clock_drift``, ``voter_set``, ``voter_contacts``, ``progress_reports``, ``recall_votes``,
``packing``, ``task_schedule``, ``node``. I/O: ``component``, ``node_driver``, ``task_runner``,
``task_client``, ``store``, ``token_reservation``, ``clock``, ``condition_log``, ``leader_guard``,
``admin_commands``, ``state_report``. The design is described in ``docs/notes/leases.md``.
"""
