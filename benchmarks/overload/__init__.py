"""Goodput, latency and CPU of one gateway under loads up to ten times what its core serves; see ``rig.py``."""
