"""Connections from clients."""
