"""Development stand-ins for the systems around guavajunction."""
