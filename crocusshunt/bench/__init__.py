"""Benchmarks, each measured against its target and a baseline."""

from crocusshunt.bench._registry import (
    Measurement,
    format_misses,
    register_bench,
    run_benches,
)

__all__ = ('Measurement', 'format_misses', 'register_bench', 'run_benches')
