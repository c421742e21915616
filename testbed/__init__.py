"""Stand-ins for all that is outside a gateway, faults to inject, and a checker of the five rules."""
