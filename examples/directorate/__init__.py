"""The Directorate of Residential Door Services in Muscat."""
