"""Signed datagrams between gateways, beside the platform's gossip address; shared by subsystems.

``signed_datagram`` does no I/O; ``socket`` binds; ``component`` is what ``[channel]`` of the
operator file switches on.
"""
