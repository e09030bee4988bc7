Feature: sessions read their own writes

  Scenario: a session that moves to another entry host reads its own write
    Given the Bogotá deployment
    When a session places an order in "orders-1" through one entry host
    And it reads the order back through every other entry host
    Then every read shows the order

  Scenario: a poll that accepts stale data is served by a replica
    Given the Bogotá deployment
    When a session places an order in "orders-1" through one entry host
    And the replicas have caught up
    And it polls the order through an entry host in another availability zone
    Then a replica serves the poll
