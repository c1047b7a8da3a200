"""Function images in chunks: the cache of a worker, and the choice of sources for chunks."""
