"""All processes start again while the primary is down, after a replica has left."""
