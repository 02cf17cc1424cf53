"""Serving layer for language model prompts from a thousand to a million tokens."""

__version__ = "0.1.0"


def __getattr__(name):
    """Import the application on first use, since its dependencies load slowly."""
    if name in ("Application", "run_application"):
        from vanillareach import application

        return getattr(application, name)
    raise AttributeError(name)


__all__ = ["Application", "__version__", "run_application"]
