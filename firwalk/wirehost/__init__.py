"""The decisions of firwalk on the wire of the operators' bench."""
