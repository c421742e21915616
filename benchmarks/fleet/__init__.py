"""Simulations of the gateway's I/O-free state machines on ``testbed.simulation``'s clock."""
