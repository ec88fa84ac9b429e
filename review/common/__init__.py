"""Stand-ins and checks that the cases share."""
