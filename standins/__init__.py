"""Small programs that take the place of the platform and of targets."""
