"""A run: real gateways as processes in a world of stand-ins."""
