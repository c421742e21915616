"""The adapter that runs the policy on the simulator's binary protocol."""
