"""One node's requests between its sockets and the decisions: actions out, outcomes in. No I/O."""
