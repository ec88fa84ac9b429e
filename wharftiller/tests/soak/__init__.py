"""A randomized soak: box processes under faults from outside, their promises checked throughout."""
