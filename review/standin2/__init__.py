"""Stand-ins of the second review: store, promotion call, instances, platform and clients."""
