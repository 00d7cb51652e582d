"""Adapter for the platform: its settings, documents, headers and store.

Only `daemon.platform_gateway` imports it. The modules convert between the
formats of the platform and the types of the other layers and make no
decisions.
"""
