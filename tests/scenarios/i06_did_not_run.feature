Feature: I6, a request refused as did-not-run did not run

  Scenario: Servers reset connections
    Given a deployment of 6 instances with seed 16
    When each server begins to reset half of the exchanges
    And open customers send 80 requests/s to the desk for 3 s
    And all callers have received their responses
    Then no request that was refused as did-not-run was run
    And no non-idempotent request ran twice

  Scenario: Servers respond after the deadline
    Given a deployment of 6 instances with seed 17
    When each server begins to respond after the deadline
    And open customers send 60 requests/s to the desk for 2 s
    And all callers have received their responses
    Then some requests were refused as did-not-run
    And no request that was refused as did-not-run was run

  Scenario: Servers refuse connections during an outage of the store
    Given a deployment of 6 instances with seed 18
    When open customers send 60 requests/s to the desk for 4 s and repeat each build
    And 1 s pass
    And the store goes down
    And server desk-0 begins to refuse connections
    And 2.5 s pass
    And the store recovers
    And all callers have received their responses
    Then some requests were refused as did-not-run
    And no request that was refused as did-not-run was run
