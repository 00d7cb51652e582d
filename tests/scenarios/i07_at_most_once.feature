Feature: I7, a non-idempotent request runs at most once
  Each build is sent twice, through two instances.

  Scenario: Instances die
    Given a deployment of 6 instances with seed 19
    When open customers send 60 requests/s to the desk for 4 s and repeat each build
    And 1 s pass
    And instance gw-0 dies
    And 1 s pass
    And instance gw-3 dies
    And instance gw-0 starts
    And all callers have received their responses
    Then no non-idempotent request ran twice
    And no request that was refused as did-not-run was run

  Scenario: An instance is paused
    Given a deployment of 6 instances with seed 20
    When open customers send 60 requests/s to the desk for 4 s and repeat each build
    And 1 s pass
    And instance gw-2 is paused
    And 1.5 s pass
    And instance gw-2 resumes
    And all callers have received their responses
    Then no non-idempotent request ran twice

  Scenario: The store loses responses to writes
    Given a deployment of 6 instances with seed 21
    When open customers send 60 requests/s to the desk for 4 s and repeat each build
    And 1 s pass
    And the store loses its responses to writes
    And 1.5 s pass
    And the store recovers
    And all callers have received their responses
    Then no non-idempotent request ran twice
    And no request that was refused as did-not-run was run

  Scenario: The store is down while a region is cut off
    Given a deployment of 6 instances with seed 22
    When open customers send 60 requests/s to the desk for 5 s and repeat each build
    And 1 s pass
    And region north is cut off
    And the store goes down
    And 1 s pass
    And the store recovers
    And 1 s pass
    And all links are restored
    And all callers have received their responses
    Then no non-idempotent request ran twice
