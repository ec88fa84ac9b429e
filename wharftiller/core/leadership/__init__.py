"""Leadership of groups: the record in the platform, the leases on it, and failovers."""
