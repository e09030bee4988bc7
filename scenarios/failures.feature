Feature: the guarantees hold during failures

  Scenario: an isolated primary acknowledges nothing once it is replaced
    Given the Bogotá deployment with writes in flight
    When the availability zone of the primary of "orders-1" is cut off
    Then a new primary serves writes to "orders-1" within 7 seconds
    And no write that only the old primary ran was acknowledged
    When the partition is healed
    Then every guarantee held
    And all targets of "orders-1" hold the same orders

  Scenario: a killed primary is replaced and nothing acknowledged is lost
    Given the Bogotá deployment with writes in flight
    When the primary of "orders-1" is killed
    Then a new primary serves writes to "orders-1" within 7 seconds
    And every guarantee held

  Scenario: a paused primary resumes after it was replaced
    Given the Bogotá deployment with writes in flight
    When the primary of "orders-1" is paused for 5 seconds
    Then a new primary serves writes to "orders-1" within 7 seconds
    And every guarantee held
    And all targets of "orders-1" hold the same orders

  Scenario: two primaries fail one after the other
    Given the Bogotá deployment with writes in flight
    When the primary of "orders-1" is killed
    Then a new primary serves writes to "orders-1" within 7 seconds
    When the killed target of "orders-1" comes back
    And the primary of "orders-1" is killed
    Then a new primary serves writes to "orders-1" within 7 seconds
    And every guarantee held

  Scenario: writes continue while the table service is down
    Given the Bogotá deployment with writes in flight
    When the table service goes down
    And 10 seconds pass
    Then writes to "orders-1" were never interrupted for 1 second
    And every guarantee held

  Scenario: no promotion takes place until the table service is back
    Given the Bogotá deployment with writes in flight
    When the table service goes down
    And the primary of "orders-1" is killed
    And 3 seconds pass
    Then "orders-1" has no primary
    When the table service comes back
    Then a new primary serves writes to "orders-1" within 7 seconds
    And every guarantee held

  Scenario: a promotion survives a lost answer of the table service
    Given the Bogotá deployment with writes in flight
    When the next answer of the table service is lost
    And the primary of "orders-1" is killed
    Then a new primary serves writes to "orders-1" within 7 seconds
    And every guarantee held

  Scenario: an entry host dies during transactions
    Given the Bogotá deployment with writes in flight
    When the entry host that owns the primary of "orders-1" dies
    Then writes to "orders-1" are served again within 3 seconds
    And every guarantee held

  Scenario: a zone without the primary keeps serving reads that accept stale data
    Given the Bogotá deployment
    When a session places an order in "orders-1" through one entry host
    And the replicas have caught up
    And an availability zone without the primary of "orders-1" is cut off
    Then a poll inside that zone is served by its replica
    And after 3 seconds the poll is refused instead of served too stale

  Scenario: connections to all targets go silent and the primary is kept
    Given the Bogotá deployment with writes in flight
    When every open connection to the targets of "orders-1" goes silent
    Then writes to "orders-1" are served again within 3 seconds
    And "orders-1" keeps its primary
    And every guarantee held

  Scenario: answers are late, lost, partial, duplicated or swapped
    Given the Bogotá deployment with writes in flight
    When 40 answers of the targets are late, lost, partial, duplicated or swapped
    And 8 seconds pass
    Then every guarantee held

  Scenario: an entry host shuts down without failing a request
    Given the Bogotá deployment with writes in flight
    When an entry host is shut down gracefully
    Then no request failed
    And every guarantee held

  Scenario: a primary that is leaving hands over without an error
    Given the Bogotá deployment with writes in flight
    When the primary of "orders-1" is leaving
    Then it receives no new work after 4 seconds
    And a new primary serves writes to "orders-1" within 7 seconds
    And no request failed
    And every guarantee held

  Scenario: a replica that is leaving receives no new work
    Given the Bogotá deployment with writes in flight
    When a replica of "orders-1" is leaving
    Then it receives no new work after 4 seconds
    And no request failed
    And every guarantee held

  Scenario: a replica that is far behind does not slow the sessions down
    Given the Bogotá deployment with writes in flight
    When one replica of "orders-1" falls 30 seconds behind
    And 5 seconds pass
    Then no request failed
    And every guarantee held

  Scenario: the Johannesburg deployment loses a primary
    Given the Johannesburg deployment with writes in flight
    When the primary of "jobs-1" is killed
    Then a new primary serves writes to "jobs-1" within 7 seconds
    And every guarantee held
