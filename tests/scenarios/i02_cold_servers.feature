Feature: I2, a cold server receives no more load than it can handle

  Scenario: One server restarts unannounced under load
    Given a deployment of 6 instances with seed 3
    When open customers send 80 requests/s to the desk for 4 s
    And 1 s pass
    And server desk-0 restarts unannounced
    And 1 s pass
    And server desk-0 restarts unannounced
    And all callers have received their responses
    Then no cold server received more than its capacity
    And no non-idempotent request ran twice

  Scenario: All servers are cold at once
    Given a deployment of 6 instances with seed 4
    When open customers send 80 requests/s to the desk for 4 s
    And 1 s pass
    And all servers restart at once
    And all callers have received their responses
    Then no cold server received more than its capacity

  Scenario: A server restarts after the death of its allocator
    Given a deployment of 6 instances with seed 5
    When open customers send 80 requests/s to the desk for 6 s
    And 1 s pass
    And the allocator of the desk in zone east/a dies
    And server desk-0 restarts unannounced
    And 1 s pass
    And server desk-6 restarts unannounced
    And all callers have received their responses
    Then no cold server received more than its capacity

  Scenario: A server restarts as announced while a region is cut off
    Given a deployment of 6 instances with seed 6
    When open customers send 80 requests/s to the desk for 6 s
    And 1 s pass
    And region west is cut off
    And server desk-4 restarts announced
    And 1 s pass
    And all links are restored
    And server desk-4 restarts announced
    And all callers have received their responses
    Then no cold server received more than its capacity
