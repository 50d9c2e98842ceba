"""The dispatcher of a node, between its network side and the load balancing policy. Performs no I/O."""
