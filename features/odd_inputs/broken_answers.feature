Feature: A plain service's broken answer is no answer
  On the product's own interface. The relayed path's rows are in
  relays/platform.feature, those of engines in streams/engine_answers.feature.

  # Guards against an empty or short body that is framed as whole.
  Scenario Outline: The service closes after <sent>
    When own interface: a plain service closes its connection after <sent>
    Then own interface: the call's result is <result>

    Examples:
      | sent                          | result          |
      | half of the head              | upstream_broken |
      | the head alone                | upstream_broken |
      | half of a sized body          | upstream_broken |
      | half of a chunked body        | upstream_broken |
      | a body without a length       | the whole body  |
      | a reset body without a length | upstream_broken |
