"""Hosts, ownership of shards, change tickets and their spread."""
