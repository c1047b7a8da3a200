"""Models in chunks: images, the cache on a box, and the decisions on where each chunk comes from."""
