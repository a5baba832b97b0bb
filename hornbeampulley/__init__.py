"""A request scheduler for fleets of unlike engines."""
