"""Request ids, their windows, and the fate of a lost home's requests."""
