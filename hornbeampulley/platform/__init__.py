"""Adapter for the users' platform: its names and formats only."""
