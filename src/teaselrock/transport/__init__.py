"""Transport layer: HTTP, ZeroMQ, relay streams and the store client."""
