#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/settings.h"
#include "load.h"

enum
{
  CHECK_TIMEOUT_MS = 20000,
  EXECUTIONS_LIMIT_BYTES = 1024 * 1024 * 1024,
  REPORTED_VIOLATIONS_MAX = 10,
};

/* How often each request ran, summed over all endpoints. */
struct executions
{
  GHashTable *by_id;
  bool done;
  bool failed;
};

/* Adds the counts of one endpoint, given as lines "ID COUNT". */
static void
executions_on_answer (void *ctx, const struct http_call_done *done)
{
  struct executions *executions = ctx;
  g_autofree char *text = g_strndup (done->body, done->body_len);
  char *line;
  char *save;

  executions->done = true;
  executions->failed = done->result != HTTP_CALL_ANSWERED || done->status != 200;
  if (executions->failed)
    return;
  for (line = strtok_r (text, "\n", &save); line; line = strtok_r (NULL, "\n", &save))
    {
      char *space = strrchr (line, ' ');
      unsigned count;

      if (!space)
        continue;
      *space = '\0';
      count = GPOINTER_TO_UINT (g_hash_table_lookup (executions->by_id, line)) +
              (unsigned) strtoul (space + 1, NULL, 10);
      g_hash_table_insert (executions->by_id, g_strdup (line), GUINT_TO_POINTER (count));
    }
}

/* Fetches the counts of one endpoint. Returns 0 or -EIO. */
static int
executions_fetch (struct load *load, struct executions *executions, const char *address)
{
  g_autofree char *url = g_strdup_printf ("http://%s/standin/runs", address);
  struct http_call_config config = {
    .method = "GET",
    .url = url,
    .connect_timeout_ms = CHECK_TIMEOUT_MS,
    .timeout_ms = CHECK_TIMEOUT_MS,
    .body_limit = EXECUTIONS_LIMIT_BYTES,
    .fresh_connection = true,
    .done = executions_on_answer,
    .ctx = executions,
  };

  executions->done = false;
  if (!http_call_create (load->client, &config))
    return -EIO;
  while (!executions->done)
    ev_run (load->loop, EVRUN_ONCE);
  return executions->failed ? -EIO : 0;
}

/* Returns whether a number of executions satisfies the guarantees. */
static bool
guarantee_holds (unsigned guarantee, unsigned count)
{
  if ((guarantee & GUARANTEE_NEVER_RAN) && count > 0)
    return false;
  return !(guarantee & GUARANTEE_AT_MOST_ONCE) || count <= 1;
}

/* Counts the violated guarantees and prints the first of them. */
static int64_t
load_count_violations (const struct load *load, const struct executions *executions)
{
  GHashTableIter iter;
  gpointer id;
  gpointer guarantee;
  int64_t violations = 0;

  g_hash_table_iter_init (&iter, load->guarantees);
  while (g_hash_table_iter_next (&iter, &id, &guarantee))
    {
      unsigned count = GPOINTER_TO_UINT (g_hash_table_lookup (executions->by_id, id));

      if (guarantee_holds (GPOINTER_TO_UINT (guarantee), count))
        continue;
      violations++;
      if (violations <= REPORTED_VIOLATIONS_MAX)
        fprintf (stderr, "sesamepick-load: request %s ran %u times, but %s\n", (const char *) id,
                 count,
                 GPOINTER_TO_UINT (guarantee) & GUARANTEE_NEVER_RAN
                     ? "it was reported as not run or not sent"
                     : "it must run at most once");
    }
  return violations;
}

/* Asks the endpoints how often each request ran. Returns the number of violated guarantees, or a
 * negative error number if an endpoint can't be asked. */
int64_t
load_check (struct load *load)
{
  g_auto (GStrv) workers = settings_split_list (load->settings->workers);
  struct executions executions = { .by_id = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                                                   NULL) };
  int64_t result = 0;

  for (size_t i = 0; workers[i] && result == 0; i++)
    result = executions_fetch (load, &executions, workers[i]);
  if (result == 0)
    result = load_count_violations (load, &executions);
  g_hash_table_destroy (executions.by_id);
  return result;
}
