Feature: The store's rates, of docs/design.md 1.4
  The store offers about 2,000 reads/s and several hundred writes/s to all
  instances together; calls during an outage count too.

  Scenario: Builds arrive while the store is down
    Given a deployment of 6 instances with seed 43
    When open customers send 200 requests/s to the desk for 3 s
    And 0.5 s pass
    And the store goes down
    And 1.5 s pass
    And 1 s pass
    Then the store got at most 2000 calls in the last 1 s
