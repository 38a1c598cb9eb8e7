"""Stand-ins of the review: platform store, backends, clients, host processes."""
