#include <stdio.h>

#include "soak.h"

/* The keys of the round's workspaces, and checks of the answers to calls with keys that are wrong
 * or withdrawn. */

const char *
soak_workspace_key (unsigned workspace)
{
  return workspace == 0 ? "soak-key-a" : "soak-key-b";
}

char *
soak_keys_tenants (unsigned version)
{
  return g_strdup_printf (
      "[{\"name\":\"a\",\"weight\":2,\"api_keys\":[\"%s\",\"soak-version-%u\"]},"
      "{\"name\":\"b\",\"weight\":1,\"api_keys\":[\"%s\"]}]",
      soak_workspace_key (0), version, soak_workspace_key (1));
}

void
soak_keys_version_stored (struct soak *soak, unsigned version)
{
  int64_t now_ms = test_now_ms ();

  g_mutex_lock (&soak->mutex);
  if (version < SOAK_VERSIONS_MAX)
    {
      soak->withdrawn_ms[soak->version] = now_ms;
      soak->version = version;
    }
  g_mutex_unlock (&soak->mutex);
}

void
soak_keys_ask_withdrawn (struct soak *soak, struct soak_connection *connection, unsigned host,
                         GRand *rand)
{
  unsigned version;
  int64_t withdrawn_ms;
  int64_t sent_ms;
  g_autofree char *key = NULL;
  struct soak_answer answer;

  g_mutex_lock (&soak->mutex);
  version = (unsigned) g_rand_int_range (rand, 0, (gint32) soak->version);
  withdrawn_ms = soak->withdrawn_ms[version];
  g_mutex_unlock (&soak->mutex);
  /* No version has number 0, so that its key is one that never was. */
  key = g_strdup_printf ("soak-version-%u", version);
  sent_ms = test_now_ms ();
  soak_call (connection, "GET", "/one/", key, NULL, &answer);
  g_mutex_lock (&soak->mutex);
  soak->n_calls_withdrawn += withdrawn_ms > 0 && sent_ms > withdrawn_ms + SOAK_CONFIG_BOUND_MS;
  if (answer.status == 200 && version == 0)
    soak_violation (soak, NULL, "KEY", "host %u serves a key that never was", host);
  else if (answer.status == 200 && withdrawn_ms > 0 &&
           sent_ms > withdrawn_ms + SOAK_CONFIG_BOUND_MS)
    soak_violation (soak, NULL, "KEY", "host %u serves the key of version %u, %d ms after its end",
                    host, version, (int) (sent_ms - withdrawn_ms));
  g_mutex_unlock (&soak->mutex);
}

void
soak_keys_ask_other (struct soak *soak, struct soak_connection *connection, unsigned host,
                     struct soak_job *job)
{
  g_autofree char *path = g_strdup_printf ("/one/%s", job->id);
  struct soak_answer answer;

  soak_call (connection, "GET", path, soak_workspace_key (!job->workspace), NULL, &answer);
  if (answer.status != 200 && answer.status != 401)
    return;
  g_mutex_lock (&soak->mutex);
  soak_violation (soak, job, "KEY", "host %u answers %d to another workspace's key", host,
                  answer.status);
  g_mutex_unlock (&soak->mutex);
}
