"""What a node tells its operators: log lines, events, and run-time checks of the rules on requests."""
