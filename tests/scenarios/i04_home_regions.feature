Feature: I4, a request with home regions stays in these regions
  The steps search servers, messages between regions and the objects of the
  store, which is in region east, for data of these requests.

  Scenario: Servers of the home regions fail and requests are repeated
    Given a deployment of 6 instances with seed 10
    When home-region customers send 80 requests/s to the desk for 4 s and repeat each build
    And server desk-2 begins to reset half of the exchanges
    And server desk-0 begins to truncate half of the bodies
    And server desk-4 begins to respond after the deadline
    And all callers have received their responses
    And 5 s pass
    Then no data of requests with home regions is found elsewhere
    And no non-idempotent request ran twice

  Scenario: The keeper of a home region dies and a region is cut off
    Given a deployment of 12 instances with seed 11
    When home-region customers send 60 requests/s to the desk for 4 s
    And 1 s pass
    And instance gw-2 dies
    And region west is cut off
    And 1 s pass
    And all links are restored
    And all callers have received their responses
    And 6 s pass
    Then no data of requests with home regions is found elsewhere

  Scenario: The steps detect a disabled home-region check
    Given the home-region check allows every region
    And a deployment of 6 instances with seed 12
    When home-region customers send 60 requests/s to the desk for 2 s
    And all callers have received their responses
    And 5 s pass
    Then data of requests with home regions is found elsewhere
