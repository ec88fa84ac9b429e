"""The other boxes: who they are, what they tell, what is read for all."""
