"""Load balancing policy: executor selection, retries, admission and outlier ejection. Performs no I/O."""
