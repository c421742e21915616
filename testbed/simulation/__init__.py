"""Discrete-event simulation of state machines, and exhaustive exploration of small cases. Independent of saffrongw."""
