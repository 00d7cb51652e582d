"""Adapter of the users' platform: its names, documents, headers and store.

Only `daemon.platform_gateway` imports it. Nothing here decides anything;
it decodes what the platform says into types of the other layers.
"""
