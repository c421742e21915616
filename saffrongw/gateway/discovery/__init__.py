"""Endpoint discovery: when to poll, which watch events count, and the HTTP client."""
