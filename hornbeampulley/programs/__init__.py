"""The programs; each only wires modules together."""
