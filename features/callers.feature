Feature: Errors for invalid requests
  A caller receives a typed error that states the remedy, and nothing runs.

  Scenario Outline: <case>
    Given a running fleet
    When a caller sends <method> <path> with key "<key>" and body <body>
    Then the answer is <status> with code "<code>" and outcome "not_run"
    And no engine ran a step

    Examples: wrong addresses
      | case            | method | path               | key  | body | status | code      |
      | unknown path    | GET    | /nothing           | good | -    | 404    | not_found |
      | unknown service | GET    | /services/nope/x   | good | -    | 404    | not_found |
      | model as plain  | GET    | /services/catalog-llm/x | good | - | 404  | not_found |
      | unknown pipeline | POST  | /pipelines/nope    | good | -    | 404    | not_found |

    Examples: wrong keys
      | case      | method | path                 | key | body | status | code            |
      | no key    | GET    | /v1/models           | -   | -    | 401    | invalid_api_key |
      | wrong key | POST   | /v1/chat/completions | bad | {}   | 401    | invalid_api_key |

    Examples: wrong bodies
      | case           | method | path                 | key  | body                                                     | status | code            |
      | no JSON        | POST   | /v1/completions      | good | hello                                                    | 400    | invalid_request |
      | a list         | POST   | /v1/completions      | good | [1]                                                      | 400    | invalid_request |
      | no model       | POST   | /v1/completions      | good | {"prompt":"x"}                                           | 400    | invalid_request |
      | unknown model  | POST   | /v1/completions      | good | {"model":"nope","prompt":"x"}                            | 404    | model_not_found |
      | no prompt      | POST   | /v1/completions      | good | {"model":"catalog-llm"}                                  | 400    | invalid_request |
      | bad messages   | POST   | /v1/chat/completions | good | {"model":"catalog-llm","messages":[{"role":1}]}          | 400    | invalid_request |
      | bad max_tokens | POST   | /v1/completions      | good | {"model":"catalog-llm","prompt":"x","max_tokens":"many"} | 400    | invalid_request |
      | zero tokens    | POST   | /v1/completions      | good | {"model":"catalog-llm","prompt":"x","max_tokens":-1}     | 400    | invalid_request |
      | oversized body | POST   | /v1/completions      | good | 1048577*x                                                | 413    | too_large       |
      | bad idempotency key | POST | /services/bid-desk/bids | long | x                                                  | 400    | invalid_request |
