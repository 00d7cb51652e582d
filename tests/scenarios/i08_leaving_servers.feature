Feature: I8, a leaving backend server receives no new work after 2 s

  Scenario: The server list shows it while the store is down
    Given a deployment of 6 instances with seed 23
    When open customers send 80 requests/s to the lookups for 6 s
    And 1 s pass
    And the store goes down
    And the server list shows server lookups-0 as leaving
    And all callers have received their responses
    Then server lookups-0 got no new work after 2 s

  Scenario: It signals its drain while the server list is stale
    Given a deployment of 6 instances with seed 24
    When open customers send 80 requests/s to the desk for 5 s
    And 1 s pass
    And the server list becomes stale
    And server desk-1 signals that it drains
    And all callers have received their responses
    Then server desk-1 got no new work after 2 s
    And each request that started to run was completed

  Scenario: Its allocator dies as the server list shows it
    Given a deployment of 6 instances with seed 25
    When open customers send 80 requests/s to the desk for 7 s
    And 1 s pass
    And the server list shows server desk-2 as leaving
    And the allocator of the desk in zone north/a dies
    And all callers have received their responses
    Then server desk-2 got no new work after 2 s
