"""Names in the platform's protocol: headers, kinds of objects, paths."""

# Headers
ATTEMPT_ID = "X-Attempt-Id"
DEADLINE = "X-Deadline-Ms"
AFFINITY_COOKIE = "X-Affinity-Key"
PROMPT_PREFIX = "X-Prompt-Prefix"
LAST_EVENT_ID = "Last-Event-Id"
RESUMES = "Resumes"
SEAL = "X-Server-Seal"
EXPECT_INSTANCE = "X-Expect-Instance"
NOT_EXECUTED = "X-Not-Executed"
RETRY_AFTER = "Retry-After"
TOKEN_COUNT = "X-Token-Count"
REQUEST_PRIORITY = "X-Request-Priority"
PROGRAM = "X-Program-Id"
TOKEN_BUDGET = "X-Token-Budget"
FINISH = "X-Finish-Ms"
PREVIOUS_TURN = "X-Previous-Turn"
SESSION = "X-Session-Id"
API_KEY = "X-Key"
TENANT = "X-Tenant"
EXPECT_VERSION = "X-Expect-Version"
HOLD = "X-Hold"
PIN = "X-Pin-Ms"
MEMORY_BACKUP = "X-Kv-Backup"
MEMORY_SOURCE = "Kv-From"
MEMORY_FETCH = "Kv-Fetch"

#: Request headers that only the system sets, and callers' secrets: clients' values are removed.
STRIPPED_HEADERS = (
    API_KEY,
    TENANT,
    DEADLINE,
    EXPECT_INSTANCE,
    EXPECT_VERSION,
    REQUEST_PRIORITY,
    LAST_EVENT_ID,
    HOLD,
    PIN,
    MEMORY_BACKUP,
    MEMORY_SOURCE,
    MEMORY_FETCH,
)

# Kinds of objects in the store
SERVERS = "servers"
CONFIGURATION = "config"
NEWEST_CONFIGURATION = "main"
RETIREMENTS = "retirements"

#: Environment variable that holds the path of the settings file.
SETTINGS_VARIABLE = "YARROWWALL_BOOT"
#: Path of the readiness check: whether a node accepts new connections.
READINESS_PATH = "/readyz"
