"""The adapter that plays the policy on the simulator's binary wire."""
