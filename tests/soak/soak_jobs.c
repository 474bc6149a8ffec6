#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "soak.h"

/* The jobs of a round: what their callers were told, and checks of it. */

enum
{
  NEWEST_JOBS = 80,
  LONG_RUNNING_PERCENT = 10,
  CRASHING_PERCENT = 1,
  NEAR_PERCENT = 15,
  GANG_PERCENT = 10,
  /* Most of a round's jobs that crash endpoints; the pool has four. */
  CRASHING_MAX = 3,
  PERCENT = 100,
  MS_PER_S = 1000,
  /* Violations of a round that are printed; the others are counted. */
  PRINTED_MAX = 12,
};

struct soak_job *
soak_job_create (struct soak *soak, GRand *rand)
{
  struct soak_job *job = g_new0 (struct soak_job, 1);

  snprintf (job->id, sizeof job->id, "%08x%08x", g_rand_int (rand), g_rand_int (rand));
  job->long_running = g_rand_int_range (rand, 0, PERCENT) < LONG_RUNNING_PERCENT;
  job->crashes = !job->long_running && g_rand_int_range (rand, 0, PERCENT) < CRASHING_PERCENT;
  job->workspace = (unsigned) g_rand_int_range (rand, 0, 2);
  job->near = g_rand_int_range (rand, 0, PERCENT) < NEAR_PERCENT;
  job->gang = g_rand_int_range (rand, 0, PERCENT) < GANG_PERCENT;
  job->tries = g_array_new (FALSE, FALSE, sizeof (struct soak_try));
  g_mutex_lock (&soak->mutex);
  job->crashes = job->crashes && soak->n_crashing_jobs < CRASHING_MAX;
  soak->n_crashing_jobs += job->crashes;
  g_ptr_array_add (soak->jobs, job);
  g_mutex_unlock (&soak->mutex);
  return job;
}

void
soak_job_destroy (gpointer job)
{
  g_array_unref (((struct soak_job *) job)->tries);
  g_free (job);
}

struct soak_job *
soak_job_pick (struct soak *soak, GRand *rand)
{
  struct soak_job *job = NULL;
  guint n;

  g_mutex_lock (&soak->mutex);
  n = MIN (soak->jobs->len, NEWEST_JOBS);
  if (n > 0)
    job = g_ptr_array_index (soak->jobs,
                             soak->jobs->len - 1 - (guint) g_rand_int_range (rand, 0, (gint32) n));
  g_mutex_unlock (&soak->mutex);
  return job;
}

/* Prints a time as the time of day, as the daemons' logs have it. */
static void
print_time (int64_t at_ms)
{
  int64_t wall_ms = g_get_real_time () / MS_PER_S - (test_now_ms () - at_ms);
  g_autoptr (GDateTime) time = g_date_time_new_from_unix_utc (wall_ms / MS_PER_S);
  g_autofree char *text = g_date_time_format (time, "%H:%M:%S");

  printf ("%s.%03d", text, (int) (wall_ms % MS_PER_S));
}

void
soak_violation (struct soak *soak, struct soak_job *job, const char *rule, const char *what, ...)
{
  va_list args;

  if (job && job->reported)
    return;
  if (job)
    job->reported = true;
  if (++soak->n_violations > PRINTED_MAX)
    return;
  printf ("seed %u: %s: job %s: ", soak->seed, rule, job ? job->id : "-");
  va_start (args, what);
  vprintf (what, args);
  va_end (args);
  printf (" (seen at ");
  print_time (test_now_ms ());
  printf (")\n");
  for (guint i = 0; job && i < job->tries->len; i++)
    {
      const struct soak_try *try = &g_array_index (job->tries, struct soak_try, i);

      printf ("    ");
      print_time (try->sent_ms);
      printf (" host %u %s status %d after %d ms\n", try->host, try->method, try->status,
              (int) try->took_ms);
    }
  fflush (stdout);
}

/* Adds a request to a job's history. Of the queries of a host only the first is kept. */
static void
soak_job_record (struct soak_job *job, const char *method, unsigned host, int64_t sent_ms,
                 int status)
{
  struct soak_try try = {
    .method = method,
    .host = host,
    .sent_ms = sent_ms,
    .took_ms = test_now_ms () - sent_ms,
    .status = status,
  };

  for (guint i = job->tries->len; strcmp (method, "GET") == 0 && i > 0; i--)
    {
      const struct soak_try *earlier = &g_array_index (job->tries, struct soak_try, i - 1);

      if (earlier->host == host && strcmp (earlier->method, method) == 0)
        return;
    }
  g_array_append_val (job->tries, try);
}

/* Checks that a response with one of the expected statuses, or none, arrived. marker is what the
 * body of a response 200 contains. */
static void
soak_check_answer (struct soak *soak, struct soak_job *job, const struct soak_answer *answer,
                   const char *method, const char *marker)
{
  bool known = answer->status == 0 || answer->status == 200 || answer->status == 429 ||
               answer->status == 503 || answer->status == 504 ||
               (answer->status == 410 && strcmp (method, "POST") != 0);

  if (answer->mixed_up)
    soak_violation (soak, job, "MIXED-UP", "bytes that don't belong to the response of a %s",
                    method);
  else if (!known || (answer->status == 200 && !strstr (answer->body, marker)))
    soak_violation (soak, job, "MIXED-UP", "%s was answered %d %s", method, answer->status,
                    answer->body);
}

/* Checks a response 410: an accepted job must be known from SOAK_VISIBLE_MS on. */
static void
soak_job_check_known (struct soak *soak, struct soak_job *job, unsigned host, int64_t sent_ms,
                      int status)
{
  if (status == 410 && job->accepted_ms > 0 && !job->cancel_sent &&
      sent_ms >= job->accepted_ms + SOAK_VISIBLE_MS)
    soak_violation (soak, job, "LOST", "host %u answers 410, %d ms after the job was accepted",
                    host, (int) (sent_ms - job->accepted_ms));
}

void
soak_job_submitted (struct soak *soak, struct soak_job *job, unsigned host, int64_t sent_ms,
                    const struct soak_answer *answer)
{
  g_mutex_lock (&soak->mutex);
  soak_job_record (job, "POST", host, sent_ms, answer->status);
  job->n_submissions++;
  job->n_rejections += answer->status == 429 || answer->status == 503;
  if (answer->status == 200 && job->accepted_ms == 0)
    job->accepted_ms = test_now_ms ();
  soak_check_answer (soak, job, answer, "POST", "{}");
  g_mutex_unlock (&soak->mutex);
}

void
soak_job_cancelled (struct soak *soak, struct soak_job *job, unsigned host, int64_t sent_ms,
                    const struct soak_answer *answer)
{
  g_mutex_lock (&soak->mutex);
  soak_job_record (job, "DELETE", host, sent_ms, answer->status);
  if (answer->status == 200 && job->cancelled_ms == 0)
    job->cancelled_ms = test_now_ms ();
  soak_check_answer (soak, job, answer, "DELETE", "{");
  g_mutex_unlock (&soak->mutex);
}

void
soak_job_asked (struct soak *soak, struct soak_job *job, unsigned host, int64_t sent_ms,
                const struct soak_answer *answer)
{
  bool failed = !job->crashes && strstr (answer->body, "\"failed\"") != NULL;
  bool cancelled = strstr (answer->body, "\"cancelled\"") != NULL;

  g_mutex_lock (&soak->mutex);
  if (answer->status != 200)
    soak_job_record (job, "GET", host, sent_ms, answer->status);
  soak_check_answer (soak, job, answer, "GET", "\"state\"");
  soak_job_check_known (soak, job, host, sent_ms, answer->status);
  if (answer->status == 200 && (failed || (cancelled && !job->cancel_sent)))
    soak_violation (soak, job, "LOST", "host %u reports %s without a cause", host, answer->body);
  g_mutex_unlock (&soak->mutex);
}
