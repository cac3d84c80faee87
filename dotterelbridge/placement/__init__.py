"""What is loaded on which accelerator."""
