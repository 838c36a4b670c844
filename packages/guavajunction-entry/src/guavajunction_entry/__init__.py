"""The guavajunction daemon that runs on every entry instance."""
