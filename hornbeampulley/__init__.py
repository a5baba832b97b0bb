"""A request scheduler for heterogeneous fleets of model engines."""
