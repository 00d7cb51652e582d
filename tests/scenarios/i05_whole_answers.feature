Feature: I5, every caller receives the complete response to its own request

  Scenario: Servers truncate bodies
    Given a deployment of 6 instances with seed 13
    When each server begins to truncate half of the bodies
    And open customers send 60 requests/s to the desk for 3 s
    And all callers have received their responses
    Then each response is complete and belongs to its request

  Scenario: A server responds after the deadline, then in time
    Given a deployment of 6 instances with seed 14
    When open customers send 80 requests/s to the desk for 6 s
    And server desk-0 begins to respond after the deadline
    And 3 s pass
    And server desk-0 begins to work normally
    And all callers have received their responses
    Then each response is complete and belongs to its request
    And no request that was refused as did-not-run was run

  Scenario: An instance is paused with requests in flight
    Given a deployment of 6 instances with seed 15
    When open customers send 80 requests/s to the desk for 4 s
    And 1 s pass
    And instance gw-1 is paused
    And 1 s pass
    And instance gw-1 resumes
    And all callers have received their responses
    Then each response is complete and belongs to its request
