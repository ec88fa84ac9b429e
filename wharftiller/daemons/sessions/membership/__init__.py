"""Membership: the list of boxes, lease renewal, and reads of the platform."""
