"""Client of the platform's object API and the control loops built on it."""
