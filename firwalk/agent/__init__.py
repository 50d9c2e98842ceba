"""One agent for each node: starts its process of a release, watches it, and replaces it as the plan wants."""
