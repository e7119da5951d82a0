Feature: The callers' HTTP interface
  The published openai client works with only its base_url changed. Every invalid
  request gets an explicit error and reaches no target.

  Scenario: The published client gets whole and streamed answers
    Given a running fleet of 2 daemons
    When the openai client asks for a chat unstreamed and streamed, async and sync
    And the openai client asks for a text completion unstreamed and streamed
    Then all responses are complete and equal to the engine's text
    And the models response lists exactly the customer's models

  Scenario Outline: A wrong request is refused before it reaches a target
    Given a running fleet of 1 daemons
    When a caller sends <fault>
    Then the answer has status <status> and code "<code>"
    And it is marked as not executed and no engine received it
    And the openai client would raise <error class>

    Examples:
      | fault                     | status | code                    | error class              |
      | malformed JSON            | 400    | invalid_request         | BadRequestError          |
      | a JSON list               | 400    | invalid_request         | BadRequestError          |
      | no messages               | 400    | invalid_request         | BadRequestError          |
      | a message without a role  | 400    | invalid_request         | BadRequestError          |
      | invalid UTF-8             | 400    | invalid_request         | BadRequestError          |
      | two choices               | 400    | invalid_request         | BadRequestError          |
      | negative max_tokens       | 400    | invalid_request         | BadRequestError          |
      | too many max_tokens       | 400    | invalid_request         | BadRequestError          |
      | a bad timeout header      | 400    | invalid_request         | BadRequestError          |
      | a prompt beyond the model | 400    | context_length_exceeded | BadRequestError          |
      | no key                    | 401    | invalid_api_key         | AuthenticationError      |
      | a wrong key               | 401    | invalid_api_key         | AuthenticationError      |
      | an operator key           | 401    | invalid_api_key         | AuthenticationError      |
      | an unknown model          | 404    | model_not_found         | NotFoundError            |
      | an oversize body          | 413    | invalid_request         | APIStatusError           |
      | a body that stalls        | 408    | invalid_request         | APIStatusError           |

  Scenario: A customer cannot choose another customer's cache salt
    A caller sends another customer's salt in its body. If the daemon forwarded it,
    the engine would use the other customer's cached blocks, so the time to the first
    token would reveal what the other customer had asked.
    Given a running fleet of 1 daemons
    When two customers send the same prompt, the second with the first one's salt
    Then the second customer's answer used no cached tokens

  Scenario: A model that is not open to a customer looks like a missing one
    An error that distinguishes the two would reveal the names of other customers'
    models.
    Given a running fleet of 1 daemons
    And the second customer may use only the model "other"
    When the second customer asks for the fleet's model
    Then the answer has status 404 and code "model_not_found"
