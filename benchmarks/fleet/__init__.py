"""The program's pure machines on the virtual clock of ``testbed.simulation``."""
