Feature: I12, each request appears in the report exactly as it happened

  Scenario: The instance that wrote rows dies
    Given a deployment of 6 instances with seed 38
    When open customers send 60 requests/s to the desk for 3 s
    And 1.5 s pass
    And instance gw-1 dies
    And all callers have received their responses
    And 12 s pass
    Then the report matches what callers and servers observed

  Scenario: Keepers of rows die one after the other
    Given a deployment of 6 instances with seed 39
    When open customers send 60 requests/s to the desk for 6 s
    And 1 s pass
    And instance gw-0 dies
    And 4 s pass
    And instance gw-3 dies
    And all callers have received their responses
    And 12 s pass
    Then the report matches what callers and servers observed

  Scenario: The store loses responses to writes
    Given a deployment of 6 instances with seed 40
    When open customers send 60 requests/s to the desk for 4 s
    And 1 s pass
    And the store loses its responses to writes
    And 2 s pass
    And the store recovers
    And all callers have received their responses
    And 12 s pass
    Then the report matches what callers and servers observed

  Scenario: The store is down for a minute
    Given a deployment of 3 instances with seed 41
    When open customers send 60 requests/s to the lookups for 2 s
    And the store goes down
    And 60 s pass
    And the store recovers
    And all callers have received their responses
    And 12 s pass
    Then the report matches what callers and servers observed
