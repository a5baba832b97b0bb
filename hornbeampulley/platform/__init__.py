"""Between hornbeampulley and its users' platform: names and formats only."""
