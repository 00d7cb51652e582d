Feature: I9, a planned stop interrupts no request in flight

  Scenario: An instance is stopped under load
    Given a deployment of 6 instances with seed 26
    When open customers send 80 requests/s to the desk for 4 s
    And 1 s pass
    And instance gw-1 is stopped as planned
    And 1 s pass
    And instance gw-4 is stopped as planned
    And all callers have received their responses
    Then no request ended with a lost connection
    And each request that started to run was completed

  Scenario: An instance is stopped while the store is down
    Given a deployment of 6 instances with seed 27
    When open customers send 80 requests/s to the desk for 4 s
    And 1 s pass
    And the store goes down
    And instance gw-0 is stopped as planned
    And 2 s pass
    And the store recovers
    And all callers have received their responses
    Then no request ended with a lost connection
    And each request that started to run was completed

  Scenario: A server drains at the same time
    Given a deployment of 6 instances with seed 28
    When open customers send 80 requests/s to the desk for 4 s
    And 1 s pass
    And server desk-3 signals that it drains
    And instance gw-3 is stopped as planned
    And all callers have received their responses
    Then no request ended with a lost connection
    And each request that started to run was completed
