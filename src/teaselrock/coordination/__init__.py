"""Coordination layer: decisions, without HTTP, sockets or encodings."""
