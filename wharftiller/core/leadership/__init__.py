"""Who leads each group: the record in the platform, this box's lease on it, changes of primary."""
