Feature: Short requests don't wait behind another host's long prompt
  Head-of-line blocking: an engine reads prompts one after the other, and a
  host knows at once only what it has sent itself.

  # The load of a calm day: few prefixes are shared by most requests, so most
  # reach the same engines, and one prompt in 30 takes a second to read.
  Scenario Outline: Some prompts are long
    Given long prompts: <hosts> hosts, 15 engines, seed <seed>
    When long prompts: 15 requests a second arrive for 120 seconds
    Then long prompts: at most 1% of the short requests wait over 0.4 s

    Examples:
      | hosts | seed |
      | 9     | 1    |
      | 9     | 2    |
      | 9     | 3    |

  Scenario: The wait shrinks with the age of the report
    Given long prompts: 9 hosts, 15 engines, seed 1
    When long prompts: another host reports 40000 waiting tokens of one engine
    Then long prompts: the engine isn't chosen for its prefix within 0.8 s
    And long prompts: it is chosen 1.2 s after the report
