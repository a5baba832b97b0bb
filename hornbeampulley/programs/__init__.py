"""Daemons and command-line programs, assembled from the other packages."""
