"""Kitakaze Tally Works: stock counts for corner shops across Hokkaido."""
