"""A stand-in for what tasks of the fleet call: it refuses older numbers, as a receiver has to."""
