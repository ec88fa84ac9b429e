"""The adapter to the platform on which wharftiller runs; nothing outside knows its names."""
