#include "common/client_limits.h"

#include <glib.h>

enum
{
  MS_PER_S = 1000,
  BYTES_PER_MB = 1000 * 1000,
  /* Longest step of the time by which clients are judged. */
  CLOCK_STEP_MAX_MS = 2000,
  /* A connection without a request is closed after this time. */
  IDLE_MAX_MS = 60 * MS_PER_S,
  /* How long a request may take to arrive or a response to be read, and the rate of a large one
   * beyond that. */
  TRANSFER_MS = 60 * MS_PER_S,
  TRANSFER_BYTES_PER_S = 4096,
  /* The same while the memory is used up: a request without a new byte for this time, and a
   * response. */
  STALL_MS = 5 * MS_PER_S,
  STALL_BYTES_PER_S = 64 * 1024,
  /* An idle connection that is younger may have a request on its way. */
  IDLE_GRACE_MS = 1 * MS_PER_S,
  /* A response that has been sent for less may be on its way to a client that reads it. */
  SENDING_GRACE_MS = 5 * MS_PER_S,
};

void
client_limits_init (struct client_limits *limits, struct memory_budget *budget,
                    unsigned connection_limit)
{
  *limits = (struct client_limits){ .budget = budget, .connection_limit = connection_limit };
  for (int state = 0; state < N_CLIENT_STATES; state++)
    TAILQ_INIT (&limits->clients[state]);
}

void
client_limits_advance (struct client_limits *limits, int64_t clock_ms)
{
  limits->now_ms += CLAMP (clock_ms - limits->clock_ms, 0, CLOCK_STEP_MAX_MS);
  limits->clock_ms = clock_ms;
}

/* Moves a client to the end of the list of a state. */
static void
client_set_state (struct client_limits *limits, struct client *client, enum client_state state)
{
  if (!client->closing)
    {
      TAILQ_REMOVE (&limits->clients[client->state], client, link);
      TAILQ_INSERT_TAIL (&limits->clients[state], client, link);
    }
  client->state = state;
  client->since_ms = limits->now_ms;
  client->progress_ms = limits->now_ms;
}

static int64_t
client_age_ms (const struct client_limits *limits, const struct client *client)
{
  return limits->now_ms - client->since_ms;
}

void
client_open (struct client_limits *limits, struct client *client)
{
  *client = (struct client){ .state = CLIENT_IDLE,
                             .since_ms = limits->now_ms,
                             .progress_ms = limits->now_ms };
  TAILQ_INSERT_TAIL (&limits->clients[CLIENT_IDLE], client, link);
  limits->n_clients++;
}

/* Removes a client from the lists and gives back its memory. */
static void
client_remove (struct client_limits *limits, struct client *client)
{
  memory_budget_force (limits->budget, &client->memory, 0);
  if (client->closing)
    return;
  client->closing = true;
  TAILQ_REMOVE (&limits->clients[client->state], client, link);
  limits->n_clients--;
}

void
client_finish (struct client_limits *limits, struct client *client)
{
  client_remove (limits, client);
}

void
client_close (struct client_limits *limits, struct client *client, enum client_refusal reason)
{
  g_assert (client->state != CLIENT_SERVED);
  client_remove (limits, client);
  limits->counts[reason]++;
}

void
client_begin_request (struct client_limits *limits, struct client *client)
{
  client_set_state (limits, client, CLIENT_RECEIVING);
  client->n_bytes = 0;
}

bool
client_receive (struct client_limits *limits, struct client *client, size_t n_bytes, size_t memory)
{
  client->n_bytes += n_bytes;
  client->progress_ms = limits->now_ms;
  if (client->closing || memory_budget_resize (limits->budget, &client->memory, memory))
    return true;
  limits->counts[CLIENT_REFUSED_MEMORY]++;
  return false;
}

bool
client_may_receive (struct client_limits *limits, size_t len)
{
  if (memory_budget_fits (limits->budget, len))
    return true;
  limits->budget->n_refusals++;
  limits->counts[CLIENT_REFUSED_MEMORY]++;
  return false;
}

void
client_release_body (struct client_limits *limits, struct client *client)
{
  memory_budget_force (limits->budget, &client->memory, 0);
}

void
client_complete_request (struct client_limits *limits, struct client *client)
{
  client_set_state (limits, client, CLIENT_SERVED);
}

void
client_begin_response (struct client_limits *limits, struct client *client, size_t n_bytes)
{
  client_set_state (limits, client, CLIENT_SENDING);
  client->n_bytes = n_bytes;
  memory_budget_force (limits->budget, &client->memory, client->closing ? 0 : n_bytes);
}

void
client_end_response (struct client_limits *limits, struct client *client)
{
  client_set_state (limits, client, CLIENT_IDLE);
  memory_budget_force (limits->budget, &client->memory, 0);
}

/* An idle connection costs its client least, then one whose request has been incomplete for the
 * longest time. */
struct client *
client_limits_next_excess (const struct client_limits *limits, const struct client *newcomer,
                           enum client_refusal *reason)
{
  struct client *idle = TAILQ_FIRST (&limits->clients[CLIENT_IDLE]);
  struct client *receiving = TAILQ_FIRST (&limits->clients[CLIENT_RECEIVING]);
  struct client *sending = TAILQ_FIRST (&limits->clients[CLIENT_SENDING]);

  if (limits->n_clients <= limits->connection_limit)
    return NULL;
  if (idle == newcomer)
    idle = NULL;
  *reason = CLIENT_CLOSED_IDLE_FOR_OTHERS;
  if (idle && client_age_ms (limits, idle) >= IDLE_GRACE_MS)
    return idle;
  if (receiving)
    *reason = CLIENT_CLOSED_RECEIVING_FOR_OTHERS;
  if (receiving || idle)
    return receiving ? receiving : idle;
  *reason = CLIENT_CLOSED_SLOW_RESPONSE;
  return sending && client_age_ms (limits, sending) >= SENDING_GRACE_MS ? sending : NULL;
}

/* Returns the first client of a state that has much memory, other than newcomer. */
static struct client *
first_large (const struct client_limits *limits, enum client_state state,
             const struct client *newcomer)
{
  struct client *client;

  TAILQ_FOREACH (client, &limits->clients[state], link)
    {
      if (client != newcomer && client->memory > MEMORY_SMALL_BYTES)
        return client;
    }
  return NULL;
}

struct client *
client_limits_next_for_memory (const struct client_limits *limits, const struct client *newcomer)
{
  struct client *client;

  if (limits->budget->used <= limits->budget->limit)
    return NULL;
  client = first_large (limits, CLIENT_SENDING, newcomer);
  return client ? client : first_large (limits, CLIENT_RECEIVING, newcomer);
}

/* Returns how long a client may take to send or read its bytes. */
static int64_t
transfer_ms (const struct client *client)
{
  return TRANSFER_MS + (int64_t) (client->n_bytes * MS_PER_S / TRANSFER_BYTES_PER_S);
}

/* Returns whether a client has much memory and makes no progress. */
static bool
client_is_stalled (const struct client_limits *limits, const struct client *client)
{
  int64_t sending_ms = (int64_t) (client->n_bytes * MS_PER_S / STALL_BYTES_PER_S);

  if (client->memory <= MEMORY_SMALL_BYTES)
    return false;
  if (client->state == CLIENT_RECEIVING)
    return limits->now_ms - client->progress_ms >= STALL_MS;
  return client_age_ms (limits, client) >= STALL_MS + sending_ms;
}

/* Returns the first client of a state that takes too long. */
static struct client *
first_late (const struct client_limits *limits, enum client_state state, bool memory_is_short,
            bool *stalled)
{
  struct client *client;

  TAILQ_FOREACH (client, &limits->clients[state], link)
    {
      *stalled = memory_is_short && client_is_stalled (limits, client);
      if (*stalled || client_age_ms (limits, client) >= transfer_ms (client))
        return client;
    }
  return NULL;
}

struct client *
client_limits_next_late (const struct client_limits *limits, enum client_refusal *reason)
{
  bool memory_is_short = limits->budget->n_refusals != limits->n_refusals_seen;
  struct client *idle = TAILQ_FIRST (&limits->clients[CLIENT_IDLE]);
  struct client *client;
  bool stalled = false;

  *reason = CLIENT_CLOSED_IDLE;
  if (idle && client_age_ms (limits, idle) >= IDLE_MAX_MS)
    return idle;
  *reason = CLIENT_CLOSED_SLOW_REQUEST;
  client = first_late (limits, CLIENT_RECEIVING, memory_is_short, &stalled);
  if (!client)
    {
      *reason = CLIENT_CLOSED_SLOW_RESPONSE;
      client = first_late (limits, CLIENT_SENDING, memory_is_short, &stalled);
    }
  if (client && stalled)
    *reason = CLIENT_CLOSED_FOR_MEMORY;
  return client;
}

void
client_limits_end_sweep (struct client_limits *limits)
{
  limits->n_refusals_seen = limits->budget->n_refusals;
}

/* Three eighths of the memory and half of the descriptors are for connections. */
unsigned
client_connection_limit (unsigned wanted, uint32_t memory_mb, uint64_t descriptors)
{
  uint64_t by_memory = (uint64_t) memory_mb * BYTES_PER_MB / 8 * 3 / CLIENT_CONNECTION_BYTES;

  return (unsigned) MAX (MIN (wanted, MIN (by_memory, descriptors / 2)), 1);
}

size_t
client_memory_limit (uint32_t memory_mb)
{
  return (size_t) memory_mb * BYTES_PER_MB / 4;
}

const char *
client_refusal_name (enum client_refusal reason)
{
  /* In the order of enum client_refusal. */
  static const char *const names[] = {
    "no_memory", "idle_for_others", "receiving_for_others", "for_memory",
    "idle",      "slow_request",    "slow_response",
  };

  G_STATIC_ASSERT (G_N_ELEMENTS (names) == N_CLIENT_REFUSALS);
  return names[reason];
}
