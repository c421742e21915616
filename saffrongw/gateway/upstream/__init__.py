"""Connections to endpoints."""
