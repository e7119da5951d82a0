Feature: Calls to servers beside a daemon that stood still
  The loop is blocked for longer than the call may take, which is the same for it as a
  stop of the process. The response comes after that.

  Scenario Outline: The response to <call> after a stall is in time
    Guards against servers that count as lost, and orders whose outcome is unknown, for
    responses that are there: timers are looked at before sockets after a stall.
    Given a server that takes 0.1 s to respond
    When the loop is blocked for 0.5 s during <call> with a time-out of 0.3 s
    Then the call has a response

    Examples:
      | call           |
      | a report       |
      | an order       |
      | a start check  |
      | cache events   |

  Scenario Outline: <call> without a response ends in time
    Guards against calls that wait for a server without end.
    Given a server that takes 5 s to respond
    When <call> is made with a time-out of 0.3 s
    Then the call has no response

    Examples:
      | call           |
      | a report       |
      | an order       |
      | a start check  |
      | cache events   |
