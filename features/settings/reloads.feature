Feature: A settings file that can't be read or applied ends nothing
  A relay host checks the file every two seconds. An error of one check must
  not end the checks: their end was found at the stop only, when it ended the
  process before requests in flight were answered.

  Scenario Outline: The file changes twice
    Given reloads: a host whose settings file is checked
    When reloads: the file changes to <content>
    Then reloads: the error is logged and the checks go on
    When reloads: the file changes to other valid settings
    Then reloads: these settings are applied

    Examples:
      | content                        |
      | deep nesting                   |
      | no JSON                        |
      | bytes that are no text         |
      | settings that can't be applied |
