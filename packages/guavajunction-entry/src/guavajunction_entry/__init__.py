"""The guavajunction daemon, which runs on every entry instance."""
