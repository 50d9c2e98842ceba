"""The dispatch decisions: which executor gets a request, when to retry, and when to give up. No I/O."""
