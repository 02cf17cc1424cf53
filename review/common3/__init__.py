"""Stand-ins and helpers of the scripts of the third review; standard library only."""
