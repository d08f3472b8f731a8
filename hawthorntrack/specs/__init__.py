"""Small specifications, checked over the product's own decision functions."""
