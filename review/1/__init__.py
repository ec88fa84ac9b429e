"""An acknowledged commit is lost, as the replica that holds it is about to leave."""
