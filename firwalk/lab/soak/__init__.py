"""Randomised soak tests: real processes under overlapping faults, checked by an oracle (`docs/lab.md`)."""
