"""Names that the platform's protocol gives to headers, kinds and calls."""

# Headers
ATTEMPT_ID = "X-Attempt-Id"
DEADLINE = "X-Deadline-Ms"
AFFINITY_COOKIE = "X-Affinity-Key"
PROMPT_PREFIX = "X-Prompt-Prefix"
LAST_EVENT_ID = "Last-Event-Id"
SEAL = "X-Server-Seal"
EXPECT_INSTANCE = "X-Expect-Instance"
NOT_EXECUTED = "X-Not-Executed"
RETRY_AFTER = "Retry-After"
TOKEN_COUNT = "X-Token-Count"
REQUEST_PRIORITY = "X-Request-Priority"
PROGRAM = "X-Program-Id"
SESSION = "X-Session-Id"
TOKEN_BUDGET = "X-Token-Budget"
FINISH = "X-Finish-Ms"
PREVIOUS_TURN = "X-Previous-Turn"

# Kinds of objects in the store
SERVERS = "servers"
CONFIGURATION = "config"
NEWEST_CONFIGURATION = "main"
RETIREMENTS = "retirements"

#: Environment variable with the path of the settings file.
SETTINGS_VARIABLE = "YARROWWALL_BOOT"
#: Call that asks whether a node takes new connections.
READINESS_PATH = "/readyz"
