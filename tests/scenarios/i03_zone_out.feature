Feature: I3, a zone that is out of service receives no new work after 2 s

  Scenario: The store fails right after the change was written
    Given a deployment of 6 instances with seed 7
    When open customers send 80 requests/s to the desk for 7 s
    And 1 s pass
    And the store fails 10 ms after the next write
    And one operator tries once to take zone north/b out
    And 2 s pass
    And the store recovers
    And all callers have received their responses
    Then zone north/b got no new work after 2 s

  Scenario: An instance of another region dies at the same time
    Given a deployment of 6 instances with seed 8
    When open customers send 80 requests/s to the desk for 6 s
    And 1 s pass
    And instance gw-2 dies
    And operators take zone north/b out
    And all callers have received their responses
    Then zone north/b got no new work after 2 s
    And no non-idempotent request ran twice
    And no request that was refused as did-not-run was run

  Scenario: An instance is paused while operators take the zone out
    Given a deployment of 6 instances with seed 9
    When open customers send 80 requests/s to the desk for 7 s
    And 1 s pass
    And instance gw-0 is paused
    And operators take zone east/b out
    And 1 s pass
    And instance gw-0 resumes
    And all callers have received their responses
    Then zone east/b got no new work after 2 s
