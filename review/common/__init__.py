"""Stand-ins and processes that the cases of the review share."""
