"""Independent review: cases and the stand-ins that they start."""
