"""A box that is not listed goes on using a primary that has been replaced."""
