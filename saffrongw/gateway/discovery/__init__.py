"""Endpoint discovery: the poll schedule, the filter of outdated events, and the HTTP client."""
