"""Adapter to the platform on which wharftiller runs; its names are used only here."""
