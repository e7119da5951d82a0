Feature: Answers of silent targets are kept until another has begun
  A sound target may send nothing for a second and go on. A request that looks for
  another target meanwhile may find none. Real daemons on loopback.

  Scenario Outline: A stream goes on at its silent engine as <obstacle>
    Guards against streams cut off while their engine pauses, as no other takes them.
    Given a deployment with 1 daemon, 2 engines and streams with a gap objective of 0.1 s
    When the engine of a stream is silent for 0.8 s and <obstacle>
    Then the client gets the whole stream

    Examples:
      | obstacle                                   |
      | the other engine rejects the stream        |
      | the other engine asks for a back-off       |
      | the other engine has crashed               |
      | the other engine has left                  |
      | the other engine changes its weights       |
      | the other engine holds newer weights       |
      | the other engine is silent as well         |
      | the other engine breaks off                |
      | the key of its client is taken away        |
      | its route is removed                       |
      | its route moves to another service         |
      | the daemon is told to end                  |
      | new connections to both engines are reset  |

  Scenario Outline: A look-up waits for its silent service as <obstacle>
    Guards against failed look-ups whose service was about to answer.
    Given a deployment with 1 daemon, 2 engines and streams with a gap objective of 0.1 s
    When the service of a look-up is silent for 0.8 s and <obstacle>
    Then the client gets the whole answer within 1.5 s

    Examples:
      | obstacle                             |
      | the other service rejects it         |
      | the other service has crashed        |
      | the other service has left           |
      | the other service is silent as well  |
      | the key of its client is taken away  |
      | its route is removed                 |
      | the daemon is told to end            |
      | new connections to both services are reset |
      | the other service fails it           |

  Scenario Outline: A look-up that waits for its service takes only the retries that it sends, as <obstacle>
    Guards against a budget that requests of a silent group use up without being sent.
    Given a deployment with 1 daemon, 2 engines and streams with a gap objective of 0.1 s
    When the service of a look-up is silent for 1.8 s and <obstacle>
    Then the client gets the whole answer within 2.5 s
    And as many retries are counted as the request arrived again

    Examples:
      | obstacle                                   |
      | new connections to both services are reset |
      | the other service rejects it               |
      | the other service is silent as well        |

  Scenario: A stream that waits for its engine takes no retry that it does not send
    Guards against a budget that streams of a silent group use up without being sent.
    Given a deployment with 1 daemon, 2 engines and streams with a gap objective of 0.1 s
    When the engine of a stream is silent for 0.8 s and new connections to both engines are reset
    Then the client gets the whole stream
    And as many retries are counted as the request arrived again

  Scenario: A stream that goes on elsewhere ends at its silent engine
    Guards against two engines at work on one stream.
    Given a deployment with 1 daemon, 2 engines and streams with a gap objective of 0.1 s
    When the engine of a stream is silent for 1.5 s and nothing stands in the way
    Then the client gets the whole stream
    And the other engine has sent its end
    And the silent engine no longer works on it 0.4 s after the other has begun

  Scenario: A stream ends at its silent engine while the other one reads a long prompt
    Guards against two engines at work on one stream for longer than 0.4 s.
    Given a deployment with 1 daemon, 2 engines and streams with a gap objective of 0.1 s
    When the engine of a stream of 40000 prompt tokens is silent for 3 s
    Then the client gets the whole stream
    And the other engine has sent its end
    And the silent engine no longer works on it 0.4 s after the other has begun

  Scenario: A stream goes on at its engine while the other still reads its prompt
    Guards against streams held up by an engine that is later than the silent one.
    Given a deployment with 1 daemon, 2 engines and streams with a gap objective of 0.1 s
    When the engine of a stream is silent for 0.5 s and the other engine needs 2 s
    Then the client gets the whole stream within 1.8 s
    And the other engine no longer works on it

  Scenario: A stream whose engine is silent twice goes on elsewhere the second time
    Guards against targets that are no longer left once they have gone on.
    Given a deployment with 1 daemon, 2 engines and streams with a gap objective of 0.1 s
    When the engine of a stream is silent for 0.4 s as the other rejects it, and then for good
    Then the client gets the whole stream
    And the other engine has sent its end

  Scenario: A stream whose silent engine breaks off in the end is cut
    Guards against streams that are held although nothing can come any more.
    Given a deployment with 1 daemon, 2 engines and streams with a gap objective of 0.1 s
    When the engine of a stream is silent, the other rejects it, and the first one crashes
    Then the client's connection breaks within 0.5 s of the crash

  Scenario Outline: Engines end as the client leaves while <obstacle>
    Guards against engines at work, and slots taken, for a client that has left.
    Given a deployment with 1 daemon, 2 engines and streams with a gap objective of 0.1 s
    When the client of a stream leaves 0.5 s after its engine fell silent and <obstacle>
    Then no engine works on it 0.3 s later
    And the daemon has no request under way

    Examples:
      | obstacle                             |
      | the other engine rejects the stream  |
      | the other engine changes its weights |
      | the other engine is silent as well   |
      | nothing stands in the way            |
