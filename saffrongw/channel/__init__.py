"""Datagrams between gateways beside the peers' address of the platform: signed, fresh, bounded. Shared by subsystems.

``envelope`` is pure; ``socket`` binds; ``part`` is what ``[channel]`` of the operator file switches on.
"""
