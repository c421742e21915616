"""Goodput, latency and CPU of one gateway at up to ten times the capacity of its core; see ``rig.py``."""
