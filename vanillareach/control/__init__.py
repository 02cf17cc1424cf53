"""Control decisions that go through the object API, and its client."""
