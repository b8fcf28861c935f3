"""Stand-ins and a launcher for the scripted cases 6 to 10 of the review."""
