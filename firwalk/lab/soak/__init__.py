"""A randomised fault soak: real processes, faults that overlap, the rules as its oracle (`docs/lab.md`)."""
