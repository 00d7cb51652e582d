"""Stand-ins for external systems, in process and over HTTP."""
