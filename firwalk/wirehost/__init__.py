"""Adapter that runs the policy of firwalk on the wire protocol of the operators' simulator."""
