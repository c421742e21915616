"""Signed datagrams between gateways, on an address separate from gossip, for several subsystems.

``signed_datagram`` does no I/O; ``socket`` is the UDP socket; ``component`` is what ``[channel]``
of the operator file switches on.
"""
