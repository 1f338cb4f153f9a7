"""Parts of the scale benchmark: fake peers on loopback, real assigners, measurements, fits and reports."""
