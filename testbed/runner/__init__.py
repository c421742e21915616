"""Runs scenarios: real gateways as processes among simulated clients, hosts, discovery and networks."""
