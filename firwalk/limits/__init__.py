"""Limits on what peers can make this process keep and do, without I/O: memory, turns and request ids."""
