"""Experiments that run the coordination code on the paused clock."""
