"""Small models of protocols, checked with the production decision functions."""
