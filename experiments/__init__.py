"""Load and experiment tool: replays traces against running daemons."""
