Feature: I11, a plan's regions, rates and amounts are never exceeded
  One metered customer may use 40 units a day, another one 5 requests/s.

  Scenario: Instances die and start again
    Given a deployment of 6 instances with seed 35
    When metered customers send 60 requests/s to the lookups for 6 s
    And 1 s pass
    And instance gw-0 dies
    And 1 s pass
    And instance gw-0 starts
    And instance gw-1 dies
    And all callers have received their responses
    Then some requests were refused because of the plan
    And no plan was exceeded

  Scenario: A region is cut off
    Given a deployment of 6 instances with seed 36
    When metered customers send 60 requests/s to the lookups for 8 s
    And 1 s pass
    And region west is cut off
    And 4 s pass
    And all links are restored
    And all callers have received their responses
    Then some requests were refused because of the plan
    And no plan was exceeded

  Scenario: The store loses responses to writes and an instance is paused
    Given a deployment of 6 instances with seed 37
    When metered customers send 60 requests/s to the lookups for 6 s
    And the store loses its responses to writes
    And instance gw-2 is paused
    And 2 s pass
    And the store recovers
    And instance gw-2 resumes
    And all callers have received their responses
    Then some requests were refused because of the plan
    And no plan was exceeded
