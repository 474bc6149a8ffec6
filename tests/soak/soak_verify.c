#include <stdio.h>
#include <string.h>

#include "soak.h"

/* Checks after the faults are over. */

enum
{
  POLL_MS = 100,
};

/* Returns the state that all hosts must report in the end, or NULL if more than one is right. */
static const char *
soak_job_final_state (const struct soak_job *job)
{
  if (job->cancelled_ms > 0 && job->long_running)
    return "\"cancelled\"";
  if (job->accepted_ms == 0 || job->cancel_sent)
    return NULL;
  if (job->crashes)
    return "\"failed\"";
  return job->long_running ? "\"running\"" : "\"completed\"";
}

/* Asks a host for the jobs that it does not report as final yet. Returns their number. */
static unsigned
soak_ask_host (struct soak *soak, struct soak_connection *connection, unsigned host)
{
  unsigned n_open = 0;

  for (guint i = 0; i < soak->jobs->len; i++)
    {
      struct soak_job *job = g_ptr_array_index (soak->jobs, i);
      const char *state = soak_job_final_state (job);
      g_autofree char *path = g_strdup_printf ("/one/%s", job->id);
      int64_t sent_ms = test_now_ms ();
      struct soak_answer answer;

      if (!state || job->settled[host])
        continue;
      soak_call (connection, "GET", path, soak_workspace_key (job->workspace), NULL, &answer);
      soak_job_asked (soak, job, host, sent_ms, &answer);
      job->settled[host] = answer.status == 200 && strstr (answer.body, state);
      n_open += !job->settled[host];
      if (answer.status == 0)
        return n_open + 1;
    }
  return n_open;
}

/* Waits until all hosts report the final states of all jobs, or SOAK_FINISH_MS are over. */
static void
soak_wait_final_states (struct soak *soak, int64_t calm_ms)
{
  struct soak_connection connections[SOAK_HOSTS_MAX];
  unsigned n_open;

  for (unsigned host = 0; host < soak->n_hosts; host++)
    connections[host] =
        (struct soak_connection){ .port = soak_hosts_caller_port (soak, host), .fd = -1 };
  do
    {
      n_open = 0;
      for (unsigned host = 0; host < soak->n_hosts; host++)
        n_open += soak_ask_host (soak, &connections[host], host);
      test_sleep_ms (POLL_MS);
    }
  while (n_open > 0 && test_now_ms () < calm_ms + SOAK_FINISH_MS);
  for (unsigned host = 0; host < soak->n_hosts; host++)
    soak_connection_close (&connections[host]);
}

/* Returns whether one of the running tasks is of the job. */
static bool
job_is_running (const struct soak_job *job, const json_t *running)
{
  size_t i;
  const json_t *task;

  json_array_foreach (running, i, task)
    {
      if (g_str_has_prefix (json_string_value (task), job->id))
        return true;
    }
  return false;
}

/* Checks one job against the tasks that were started, the last one at last_ms (0 if none), and that
 * run at now_ms. */
static void
soak_check_job (struct soak *soak, struct soak_job *job, int64_t last_ms, bool running,
                int64_t calm_ms)
{
  const char *state = soak_job_final_state (job);

  for (unsigned host = 0; state && host < soak->n_hosts; host++)
    {
      if (!job->settled[host])
        soak_violation (soak, job, "LOST", "host %u does not report %s, %d ms after the faults",
                        host, state, (int) (test_now_ms () - calm_ms));
    }
  if (last_ms > 0 && job->n_submissions > 0 && job->n_submissions == job->n_rejections)
    soak_violation (soak, job, "REFUSED", "a task was started, %d ms before the end",
                    (int) (test_now_ms () - last_ms));
  if (job->cancelled_ms > 0 &&
      last_ms > MAX (job->cancelled_ms, calm_ms + SOAK_CONTACT_MS) + SOAK_CANCEL_MS)
    soak_violation (soak, job, "UNASKED", "a task was started, %d ms after the job was cancelled",
                    (int) (last_ms - job->cancelled_ms));
  if (job->cancelled_ms > 0 && running)
    soak_violation (soak, job, "UNASKED", "a task runs, %d ms after the job was cancelled",
                    (int) (test_now_ms () - job->cancelled_ms));
  if (state && !job->cancel_sent && job->long_running && !running)
    soak_violation (soak, job, "LOST", "no task of it runs, %d ms after the faults",
                    (int) (test_now_ms () - calm_ms));
}

/* Checks all jobs, and the platform's counts of tasks that ran twice. */
static void
soak_check_starts (struct soak *soak, int64_t calm_ms)
{
  json_t *started = soak_hosts_get (soak, "/started");
  json_t *report = soak_hosts_get (soak, "/report");
  const json_t *starts = json_object_get (started, "jobs");
  /* The platform's clock is another one. */
  int64_t offset_ms = test_now_ms () - json_integer_value (json_object_get (started, "now_ms"));
  int64_t doubled = json_integer_value (json_object_get (report, "doubled"));
  int64_t after_done = json_integer_value (json_object_get (report, "after_done"));
  int64_t over_crashes = json_integer_value (json_object_get (report, "over_crashes"));

  g_mutex_lock (&soak->mutex);
  if (!starts || !report)
    soak_violation (soak, NULL, "FAULT", "the platform does not respond");
  for (guint i = 0; i < soak->jobs->len; i++)
    {
      struct soak_job *job = g_ptr_array_index (soak->jobs, i);
      int64_t last_ms = json_integer_value (json_object_get (starts, job->id));

      soak_check_job (soak, job, last_ms > 0 ? last_ms + offset_ms : 0,
                      job_is_running (job, json_object_get (started, "running")), calm_ms);
    }
  if (doubled > 0 || after_done > 0)
    soak_violation (soak, NULL, "TWICE", "doubled %d, after done %d", (int) doubled,
                    (int) after_done);
  soak->n_crashes = (unsigned) json_integer_value (json_object_get (report, "crashes"));
  if (over_crashes > 0)
    soak_violation (soak, NULL, "BUDGET", "%d starts beyond two after three crashes",
                    (int) over_crashes);
  g_mutex_unlock (&soak->mutex);
  json_decref (started);
  json_decref (report);
}

void
soak_verify (struct soak *soak)
{
  int64_t calm_ms = test_now_ms ();
  int64_t gone_ms = calm_ms + SOAK_CONTACT_MS + SOAK_CANCEL_MS + SOAK_STOP_MS;

  soak_wait_final_states (soak, calm_ms);
  test_sleep_ms (MAX (gone_ms - test_now_ms (), 0));
  soak_hosts_check_running (soak);
  soak_check_starts (soak, calm_ms);
}
