"""Communication between instances: gossip, claims, load reports and shares."""
