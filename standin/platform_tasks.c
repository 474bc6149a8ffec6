#include "platform.h"

#include <string.h>

enum
{
  WHOLE_PERMILLE = 1000,
};

/* Adds an event of a task to the journal. */
static void
task_journal_add (struct platform *platform, const struct standin_host *host, const char *event,
                  const char *name, uint64_t term)
{
  platform_journal_add (platform, json_pack ("{s:s, s:s, s:s, s:I}", "event", event, "host",
                                             host->name, "task", name, "term", (json_int_t) term));
}

/* Returns a task's state by name. A task whose lease expired before it finished has stopped. */
static const char *
task_state (const struct platform *platform, const struct standin_host *host,
            const struct standin_task *task)
{
  int64_t end_ms = task->started_ms + task->run_ms;

  if (task->stopped)
    return "stopped";
  if (g_strcmp0 (platform->faults.failing_host, host->name) == 0)
    return "failed";
  if (task->lease_end_ms < MIN (end_ms, platform->clock.now_ms))
    return "stopped";
  return platform->clock.now_ms >= end_ms ? "finished" : "running";
}

/* Answers with a task's state and progress. */
static void
task_answer (struct platform *platform, struct http_request *request,
             const struct standin_host *host, const struct standin_task *task)
{
  int64_t ran_ms = platform->clock.now_ms - task->started_ms;
  int64_t progress = task->run_ms > 0 ? ran_ms * WHOLE_PERMILLE / task->run_ms : WHOLE_PERMILLE;

  platform_answer_json (platform, request, 200,
                        json_pack ("{s:s, s:I}", "state", task_state (platform, host, task),
                                   "progress_permille",
                                   (json_int_t) MIN (progress, WHOLE_PERMILLE)),
                        0);
}

/* Records a task under a new term: starts it, or marks it as stopped so that it can't start under
 * this term. */
static struct standin_task *
task_start (struct platform *platform, struct standin_host *host, const char *name, uint64_t term,
            const json_t *json, bool is_stop)
{
  struct standin_task *task = g_new0 (struct standin_task, 1);

  task->term = term;
  task->started_ms = platform->clock.now_ms;
  task->run_ms = json_integer_value (json_object_get (json, "run_ms"));
  task->lease_end_ms = task->started_ms + json_integer_value (json_object_get (json, "lease_ms"));
  task->stopped = is_stop;
  g_hash_table_replace (host->tasks, g_strdup (name), task);
  task_journal_add (platform, host, is_stop ? "task stopped" : "task started", name, term);
  return task;
}

/* Starts a task, extends its lease or stops it. A request with an older term than the task's is
 * rejected. */
void
standin_task_post (struct platform *platform, struct http_request *request,
                   struct standin_host *host, const json_t *json)
{
  const char *name = json_string_value (json_object_get (json, "task"));
  const char *operation = json_string_value (json_object_get (json, "operation"));
  uint64_t term = (uint64_t) json_integer_value (json_object_get (json, "term"));
  struct standin_task *task = name ? g_hash_table_lookup (host->tasks, name) : NULL;
  bool is_stop = g_strcmp0 (operation, "stop") == 0;

  if (!name || (task && term < task->term))
    {
      platform_answer_json (platform, request, 409, json_pack ("{s:s}", "reason", "old term"), 0);
      return;
    }
  if (!task || term > task->term)
    task = task_start (platform, host, name, term, json, is_stop);
  if (is_stop && strcmp (task_state (platform, host, task), "running") == 0)
    task_journal_add (platform, host, "task stopped", name, term);
  task->stopped = task->stopped || is_stop;
  if (!is_stop && strcmp (task_state (platform, host, task), "running") == 0)
    task->lease_end_ms =
        platform->clock.now_ms + json_integer_value (json_object_get (json, "lease_ms"));
  task_answer (platform, request, host, task);
}
