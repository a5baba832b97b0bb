"""The filters that a request passes at its home."""
