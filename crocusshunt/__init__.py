"""Global traffic steering between callers and backend servers."""
