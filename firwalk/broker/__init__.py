"""Team contracts and one node's quota accounting. No I/O."""
