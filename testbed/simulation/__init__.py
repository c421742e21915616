"""Any pure machine in any number on one virtual clock, and all interleavings of a few. Knows no machine of ours."""
