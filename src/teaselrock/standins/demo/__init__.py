"""Demo: a deployment of processes on loopback, with load and faults."""
