Feature: I10, an accepted configuration is in effect everywhere and stays
  The target is 1 s; 4 s is the bound under faults. Version 1 is in effect
  at the start.

  Scenario: Two operators change the configuration at once
    Given a deployment of 6 instances with seed 29
    When two operators at once take zones east/a and west/b out
    Then exactly one of the two changes was accepted
    And every instance has version 2 within 1 s
    And no instance falls below version 2 for 3 s

  Scenario: Links lose messages
    Given a deployment of 6 instances with seed 30
    When links lose 10% of the messages
    And operators take zone east/b out
    Then every instance has version 2 within 4 s
    And no instance falls below version 2 for 3 s

  Scenario: Messages are delayed and delivered again
    Given a deployment of 6 instances with seed 31
    When links deliver each message again after 0.7 s
    And operators take zone east/b out and back in
    Then every instance has version 3 within 1 s
    And no instance falls below version 3 for 3 s

  Scenario: The response to the accepting write is lost and the store fails
    Given a deployment of 6 instances with seed 32
    When the store fails 10 ms after the next write
    And one operator tries once to take zone west/a out
    Then every instance has version 2 within 4 s

  Scenario: The store fails with the accepting write and comes back
    Given a deployment of 6 instances with seed 42
    When the store fails 0 ms after the next write
    And one operator tries once to take zone west/a out
    And 5 s pass
    And the store recovers
    Then every instance has version 2 within 4 s
    And no instance falls below version 2 for 3 s

  Scenario: An instance boots during an outage of the store
    Given a deployment of 6 instances with seed 33
    When instance gw-5 dies
    And operators take zone east/b out
    And every instance has version 2 within 1 s
    And the store goes down
    And instance gw-5 starts
    Then instance gw-5 becomes ready within 4 s
    And every instance has version 2 within 1 s
    And no instance falls below version 2 for 3 s

  Scenario: A region is cut off from the others but not from the store
    Given a deployment of 6 instances with seed 34
    When region north is cut off
    And 3 s pass
    And operators take zone east/b out
    Then every instance has version 2 within 4 s
    And no instance falls below version 2 for 3 s
