#include <string.h>

#include "soak.h"

/* Callers that submit jobs, retry, ask for states and cancel, as the platform's clients do. */

enum
{
  CLIENTS = 24,
  RETRY_AFTER_MS = 1000,
  NO_ANSWER_RETRY_MS = 50,
  PAUSE_MIN_MS = 10,
  PAUSE_MAX_MS = 120,
  PERCENT = 100,
  /* Shares of a caller's actions, added up. */
  SUBMIT_PERCENT = 45,
  ASK_PERCENT = 78,
  CANCEL_PERCENT = 84,
  REPEAT_PERCENT = 90,
  COUNT_PERCENT = 92,
  UNKNOWN_JOB_PERCENT = 93,
  WITHDRAWN_KEY_PERCENT = 98,
};

#define TWO_STEP_JOB                                                                               \
  "{\"spec\":\"s\",\"steps\":[{\"count\":2,\"cpu\":250,\"mem_mb\":100,\"estimate_ms\":150},"       \
  "{\"count\":1,\"cpu\":250,\"mem_mb\":100,\"estimate_ms\":150,\"depends_on\":[0]}]}"
#define NEAR_JOB                                                                                   \
  "{\"spec\":\"near r-1\",\"steps\":[{\"count\":2,\"cpu\":1500,\"mem_mb\":100,"                    \
  "\"estimate_ms\":150,\"affinity\":\"r-1\"}]}"
#define GANG_JOB                                                                                   \
  "{\"spec\":\"s\",\"steps\":[{\"count\":3,\"cpu\":1500,\"mem_mb\":100,\"estimate_ms\":150,"       \
  "\"gang\":true,\"same_rack\":true}]}"
#define CRASHING_JOB                                                                               \
  "{\"spec\":\"crashes\",\"steps\":[{\"count\":1,\"cpu\":250,\"mem_mb\":100,\"estimate_ms\":150}]" \
  "}"
#define LONG_RUNNING_JOB                                                                           \
  "{\"spec\":\"lasts\",\"steps\":[{\"count\":1,\"cpu\":100,\"mem_mb\":50,\"long_running\":true}]}"

struct client
{
  struct soak *soak;
  GRand *rand;
  GThread *thread;
  struct soak_connection connections[SOAK_HOSTS_MAX];
};

static bool
client_is_stopping (const struct client *client)
{
  return g_atomic_int_get (&client->soak->stopping) != 0;
}

/* Returns a host. */
static unsigned
client_draw_host (struct client *client)
{
  return (unsigned) g_rand_int_range (client->rand, 0, (gint32) client->soak->n_hosts);
}

/* Sends a request for a job to a host. Returns when it was sent. */
static int64_t
client_call (struct client *client, unsigned host, const char *method, const char *id,
             unsigned workspace, const char *body, struct soak_answer *answer)
{
  g_autofree char *path = g_strdup_printf ("/one/%s", id);
  int64_t sent_ms = test_now_ms ();

  soak_call (&client->connections[host], method, path, soak_workspace_key (workspace), body,
             answer);
  return sent_ms;
}

/* Returns the body with which a job is submitted. */
static const char *
soak_job_body (const struct soak_job *job)
{
  if (job->crashes)
    return CRASHING_JOB;
  if (job->long_running)
    return LONG_RUNNING_JOB;
  if (job->near)
    return NEAR_JOB;
  return job->gang ? GANG_JOB : TWO_STEP_JOB;
}

/* Submits a job once. Returns the status. */
static int
client_submit_once (struct client *client, struct soak_job *job, unsigned host)
{
  struct soak_answer answer;
  int64_t sent_ms =
      client_call (client, host, "POST", job->id, job->workspace, soak_job_body (job), &answer);

  soak_job_submitted (client->soak, job, host, sent_ms, &answer);
  return answer.status;
}

/* Submits a new job. After a rejection the caller waits and tries another host, after no answer it
 * tries any host; it gives up after a drawn number of tries. */
static void
client_submit (struct client *client)
{
  struct soak_job *job = soak_job_create (client->soak, client->rand);
  int tries = g_rand_int_range (client->rand, 1, SOAK_TRIES_MAX + 1);
  unsigned host = client_draw_host (client);
  int status = client_submit_once (client, job, host);

  while (--tries > 0 && status != 200 && !client_is_stopping (client))
    {
      bool rejected = status == 429 || status == 503;
      unsigned step = (unsigned) g_rand_int_range (client->rand, rejected ? 1 : 0,
                                                   (gint32) client->soak->n_hosts);

      test_sleep_ms (rejected ? RETRY_AFTER_MS : NO_ANSWER_RETRY_MS);
      host = (host + step) % client->soak->n_hosts;
      status = client_submit_once (client, job, host);
    }
}

/* Asks for the state of a job. */
static void
client_ask (struct client *client, struct soak_job *job)
{
  unsigned host = client_draw_host (client);
  struct soak_answer answer;
  int64_t sent_ms = client_call (client, host, "GET", job->id, job->workspace, NULL, &answer);

  soak_job_asked (client->soak, job, host, sent_ms, &answer);
}

/* Cancels a job. */
static void
client_cancel (struct client *client, struct soak_job *job)
{
  unsigned host = client_draw_host (client);
  struct soak_answer answer;
  int64_t sent_ms;

  g_mutex_lock (&client->soak->mutex);
  job->cancel_sent = true;
  g_mutex_unlock (&client->soak->mutex);
  sent_ms = client_call (client, host, "DELETE", job->id, job->workspace, NULL, &answer);
  soak_job_cancelled (client->soak, job, host, sent_ms, &answer);
}

/* Sends a request again that was answered 2xx, as one that was delayed on its way. */
static void
client_repeat (struct client *client, struct soak_job *job)
{
  bool accepted;

  g_mutex_lock (&client->soak->mutex);
  accepted = job->accepted_ms > 0;
  g_mutex_unlock (&client->soak->mutex);
  if (accepted)
    client_submit_once (client, job, client_draw_host (client));
}

/* Asks for the queue's count, or for a job that nobody submitted. */
static void
client_ask_other (struct client *client, bool count)
{
  char id[17] = "";
  struct soak_answer answer;

  if (!count)
    g_snprintf (id, sizeof id, "%08x%08x", g_rand_int (client->rand), g_rand_int (client->rand));
  client_call (client, client_draw_host (client), "GET", id, 0, NULL, &answer);
  g_mutex_lock (&client->soak->mutex);
  if (answer.mixed_up || (answer.status == 200 && (!count || !strstr (answer.body, "pending"))) ||
      (count && answer.status == 410))
    soak_violation (client->soak, NULL, "MIXED-UP", "GET \"%s\" was answered %d %s", id,
                    answer.status, answer.body);
  g_mutex_unlock (&client->soak->mutex);
}

/* Asks for the queue's count with the key of some version, or for a job with another workspace's
 * key. */
static void
client_use_wrong_key (struct client *client, struct soak_job *job, bool withdrawn)
{
  unsigned host = client_draw_host (client);

  if (withdrawn)
    soak_keys_ask_withdrawn (client->soak, &client->connections[host], host, client->rand);
  else
    soak_keys_ask_other (client->soak, &client->connections[host], host, job);
}

/* Performs one action. */
static void
client_act (struct client *client)
{
  int action = g_rand_int_range (client->rand, 0, PERCENT);
  struct soak_job *job = soak_job_pick (client->soak, client->rand);

  if (action < SUBMIT_PERCENT || !job)
    client_submit (client);
  else if (action < ASK_PERCENT)
    client_ask (client, job);
  else if (action < CANCEL_PERCENT)
    client_cancel (client, job);
  else if (action < REPEAT_PERCENT)
    client_repeat (client, job);
  else if (action < UNKNOWN_JOB_PERCENT)
    client_ask_other (client, action < COUNT_PERCENT);
  else
    client_use_wrong_key (client, job, action < WITHDRAWN_KEY_PERCENT);
}

/* The callers' thread. */
static gpointer
client_run (gpointer data)
{
  struct client *client = data;

  while (!client_is_stopping (client))
    {
      client_act (client);
      test_sleep_ms (g_rand_int_range (client->rand, PAUSE_MIN_MS, PAUSE_MAX_MS));
    }
  return NULL;
}

GPtrArray *
soak_clients_start (struct soak *soak)
{
  GPtrArray *clients = g_ptr_array_new ();

  for (guint32 n = 0; n < CLIENTS; n++)
    {
      struct client *client = g_new0 (struct client, 1);
      guint32 seed[2] = { soak->seed, n };

      client->soak = soak;
      client->rand = g_rand_new_with_seed_array (seed, G_N_ELEMENTS (seed));
      for (unsigned host = 0; host < soak->n_hosts; host++)
        client->connections[host] =
            (struct soak_connection){ .port = soak_hosts_caller_port (soak, host), .fd = -1 };
      client->thread = g_thread_new ("client", client_run, client);
      g_ptr_array_add (clients, client);
    }
  return clients;
}

void
soak_clients_join (GPtrArray *clients)
{
  for (guint i = 0; i < clients->len; i++)
    {
      struct client *client = g_ptr_array_index (clients, i);

      g_thread_join (client->thread);
      for (unsigned host = 0; host < client->soak->n_hosts; host++)
        soak_connection_close (&client->connections[host]);
      g_rand_free (client->rand);
      g_free (client);
    }
  g_ptr_array_free (clients, TRUE);
}
