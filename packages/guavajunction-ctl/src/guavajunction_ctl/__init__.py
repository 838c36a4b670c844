"""The guavactl operator command."""
