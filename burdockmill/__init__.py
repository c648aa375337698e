"""Answer searches over many shards and state how complete each answer is."""
