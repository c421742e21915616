"""Simulates everything that a gateway talks to, injects faults, and checks the gateway's behaviour from outside."""
