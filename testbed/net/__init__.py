"""Simulated clients, hosts and discovery agents on sockets, and relays that simulate the network."""
