Feature: I1, load measurement never costs more than its budget
  Each instance may send 9 KB/s of control traffic, of which 4.5 KB/s to
  other regions. A burst may use 8 s of either rate.

  Scenario: Servers restart one after the other under load
    Given a deployment of 6 instances with seed 1
    When open customers send 80 requests/s to the desk for 6 s
    And one server restarts every 100 ms for 6 s
    And all callers have received their responses
    Then control traffic of each instance stayed within its budget

  Scenario: A region is cut off while servers restart
    Given a deployment of 6 instances with seed 2
    When open customers send 60 requests/s to the desk for 6 s
    And 1 s pass
    And region west is cut off
    And one server restarts every 100 ms for 3 s
    And all links are restored
    And one server restarts every 100 ms for 3 s
    And all callers have received their responses
    Then control traffic of each instance stayed within its budget
