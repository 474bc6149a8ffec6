#include "world.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "job_records.h"

enum
{
  TURN_MS = 20,
  ANSWER_MS = 4,
  TIMEOUT_MS = 700,
  LATE_MIN_MS = 2000,
  LATE_MAX_MS = 6000,
  FLUSH_MS = 8,
  LIST_MS = 300,
  MOVE_MS = 1500,
  MAINTENANCE_MS = 2000,
  STOP_MS = 400,
  LEASE_MS = 3500,
  SICK_MS = 50,
  PERMILLE = 1000,
  AT_WORK_MS = 500,
};

enum event_kind
{
  EVENT_START,
  EVENT_STOP,
  EVENT_HOLD,
  EVENT_PACE,
  EVENT_MOVE,
  EVENT_MAINTAIN,
  EVENT_FLUSH,
};

/* An order on its way to an endpoint, or its answer on its way back. */
struct event
{
  enum event_kind kind;
  int64_t due_ms;
  bool answer;
  /* No answer follows. */
  bool silent;
  unsigned generation;
  uint64_t fence;
  struct world_endpoint *target;
  struct endpoint *endpoint;
  struct task *task;
  struct host *host;
  char *name;
  char *pool;
  uint32_t attempt;
  uint32_t wave;
  int64_t lease_end_ms;
  int64_t wait_until_ms;
  int64_t sent_ms;
  uint64_t acked;
  int percent;
  enum order_result result;
  enum host_result host_result;
  struct resources need;
  bool long_running;
  uint32_t spread_limit;
  int64_t clock_ms;
};

static void
event_destroy (gpointer data)
{
  struct event *event = data;

  g_free (event->name);
  g_free (event->pool);
  g_free (event);
}

static void
run_destroy (gpointer data)
{
  struct world_run *run = data;

  g_free (run->task);
  g_free (run);
}

static void
end_destroy (gpointer data)
{
  struct world_end *end = data;

  g_free (end->task);
  g_free (end);
}

/* Writes a line about the world if the variable asks for it. */
static void G_GNUC_PRINTF (2, 3) world_note (const struct world *world, const char *format, ...)
{
  va_list args;

  if (!g_getenv ("SESAMEPICK_TEST_NOTES"))
    return;
  printf ("%6" G_GINT64_FORMAT " ", world->now_ms);
  va_start (args, format);
  vprintf (format, args);
  va_end (args);
  printf ("\n");
}

/* Writes what the scheduler notes. */
static void
on_note (void *ctx, const char *line)
{
  world_note (ctx, "%s", line);
}

/* Gives true for a share of the calls. */
static bool
world_chance (struct world *world, int permille)
{
  return permille > 0 && g_rand_int_range (world->random, 0, PERMILLE) < permille;
}

static void
endpoint_clear (gpointer data)
{
  struct world_endpoint *endpoint = data;

  g_ptr_array_free (endpoint->runs, TRUE);
  g_ptr_array_free (endpoint->ends, TRUE);
  g_hash_table_destroy (endpoint->ended);
  g_free (endpoint->id);
  g_free (endpoint->host);
  g_free (endpoint->pool);
  g_free (endpoint->rack);
  g_free (endpoint);
}

struct world *
world_create (guint32 seed)
{
  struct world *world = g_new0 (struct world, 1);

  world->random = g_rand_new_with_seed (seed);
  world->now_ms = 1000;
  world->journal = g_ptr_array_new_with_free_func ((GDestroyNotify) g_bytes_unref);
  world->events = g_ptr_array_new_with_free_func (event_destroy);
  world->endpoints = g_ptr_array_new_with_free_func (endpoint_clear);
  world->work_ms = 1000;
  return world;
}

void
world_destroy (struct world *world)
{
  if (world->scheduler)
    scheduler_destroy (world->scheduler);
  if (world->book)
    {
      job_book_finish (world->book);
      g_free (world->book);
    }
  g_ptr_array_free (world->endpoints, TRUE);
  for (unsigned i = 0; i < world->n_hosts; i++)
    {
      g_free (world->hosts[i].id);
      g_free (world->hosts[i].pool);
      g_free (world->hosts[i].rack);
    }
  g_ptr_array_free (world->journal, TRUE);
  g_ptr_array_free (world->events, TRUE);
  if (world->flush)
    g_ptr_array_free (world->flush, TRUE);
  g_rand_free (world->random);
  g_free (world->standby);
  g_free (world);
}

/* Adds a life of a host to its pool. */
static void
world_add_endpoint (struct world *world, struct world_host *host)
{
  struct world_endpoint *endpoint = g_new0 (struct world_endpoint, 1);

  endpoint->id = g_strdup_printf ("e%u", world->endpoints->len);
  endpoint->host = g_strdup (host->id);
  endpoint->pool = g_strdup (host->pool);
  endpoint->rack = g_strdup (host->rack);
  endpoint->up = true;
  endpoint->listed = true;
  endpoint->born_ms = 1000000 + world->now_ms;
  endpoint->capacity = (struct resources){ .cpu_milli = 10000, .memory_mb = 100000 };
  endpoint->runs = g_ptr_array_new_with_free_func (run_destroy);
  endpoint->ends = g_ptr_array_new_with_free_func (end_destroy);
  endpoint->ended = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  host->endpoint = (int) world->endpoints->len;
  g_ptr_array_add (world->endpoints, endpoint);
}

void
world_add_pool (struct world *world, const char *name, bool standby)
{
  if (standby)
    world->standby = g_strdup (name);
}

void
world_add_hosts (struct world *world, const char *pool, unsigned n)
{
  enum
  {
    HOSTS_A_RACK = 4,
  };

  for (unsigned i = 0; i < n; i++)
    {
      struct world_host *host = &world->hosts[world->n_hosts];

      *host = (struct world_host){
        .id = g_strdup_printf ("m%u", world->n_hosts),
        .pool = g_strdup (pool),
        .rack = g_strdup_printf ("r-%u", world->n_hosts / HOSTS_A_RACK),
        .endpoint = -1,
      };
      world->n_hosts++;
      if (g_strcmp0 (pool, world->standby) != 0)
        world_add_endpoint (world, host);
    }
}

/* Tells the scheduler what the registry says of an endpoint. */
static void
world_list_endpoint (struct world *world, const struct world_endpoint *endpoint)
{
  const char *labels[] = { "a", endpoint->rack, NULL };
  struct endpoint_entry entry = {
    .id = endpoint->id,
    .pool = endpoint->pool,
    .address = "127.0.0.1:1",
    .labels = labels,
    .draining = endpoint->draining,
    .remaining_ms = -1,
    .born_ms = endpoint->born_ms,
    .capacity = endpoint->capacity,
  };

  scheduler_endpoint_listed (world->scheduler, &entry, world->now_ms);
}

/* Reads the registry. */
static void
world_list_endpoints (struct world *world)
{
  for (unsigned i = 0; i < world->endpoints->len; i++)
    {
      const struct world_endpoint *endpoint = g_ptr_array_index (world->endpoints, i);

      if (endpoint->listed)
        world_list_endpoint (world, endpoint);
      else
        scheduler_endpoint_gone (world->scheduler, endpoint->id, world->now_ms);
    }
  scheduler_registry_read (world->scheduler);
}

/* Reads the machine list. */
static void
world_list_hosts (struct world *world)
{
  struct host_entry entries[WORLD_HOSTS_MAX];
  const char *labels[WORLD_HOSTS_MAX][3];

  for (unsigned i = 0; i < world->n_hosts; i++)
    {
      /* Each leader reads them in another order. */
      const struct world_host *host = &world->hosts[(i + world->epoch) % world->n_hosts];

      labels[i][0] = "a";
      labels[i][1] = host->rack;
      labels[i][2] = NULL;
      entries[i] = (struct host_entry){
        .id = host->id,
        .pool = host->pool,
        .state = host->state,
        .endpoint =
            host->endpoint >= 0
                ? ((struct world_endpoint *) g_ptr_array_index (world->endpoints, host->endpoint))
                      ->id
                : NULL,
        .labels = labels[i],
        .capacity = { .cpu_milli = 10000, .memory_mb = 100000 },
      };
    }
  scheduler_hosts_listed (world->scheduler, entries, world->n_hosts, world->now_ms, world->now_ms);
}

/* Reads both, in either order. */
static void
world_list (struct world *world)
{
  if (g_rand_boolean (world->random))
    {
      world_list_endpoints (world);
      world_list_hosts (world);
      return;
    }
  world_list_hosts (world);
  world_list_endpoints (world);
}

/* Finds an endpoint by its id. */
static struct world_endpoint *
world_endpoint (const struct world *world, const char *id)
{
  for (guint i = 0; i < world->endpoints->len; i++)
    {
      struct world_endpoint *endpoint = g_ptr_array_index (world->endpoints, i);

      if (strcmp (endpoint->id, id) == 0)
        return endpoint;
    }
  return NULL;
}

/* Puts an event in. */
static struct event *
world_post (struct world *world, enum event_kind kind, int64_t after_ms)
{
  struct event *event = g_new0 (struct event, 1);

  event->kind = kind;
  event->due_ms = world->now_ms + after_ms;
  event->generation = world->generation;
  event->fence = world->epoch;
  event->sent_ms = world->now_ms;
  g_ptr_array_add (world->events, event);
  return event;
}

/* Begins an order to an endpoint. */
static struct event *
world_order (struct world *world, enum event_kind kind, struct endpoint *endpoint)
{
  struct event *event = world_post (world, kind, ANSWER_MS / 2);

  event->endpoint = endpoint;
  event->fence = endpoint->fence;
  event->target = world_endpoint (world, endpoint->id);
  g_assert (event->target);
  return event;
}

/* Sends an order that is complete: it may get no answer, and may come late. Then its sender's time
 * runs out. */
static void
world_send (struct world *world, struct event *event)
{
  bool late = world_chance (world, world->late_permille);
  struct event *timeout;

  event->silent = late || world_chance (world, world->lost_permille) || event->target->dark;
  if (late)
    event->due_ms = world->now_ms + g_rand_int_range (world->random, LATE_MIN_MS, LATE_MAX_MS);
  if (!event->silent)
    return;
  timeout = g_memdup2 (event, sizeof *event);
  timeout->due_ms = MAX (event->wait_until_ms, world->now_ms) + TIMEOUT_MS;
  timeout->answer = true;
  timeout->result = ORDER_UNKNOWN;
  timeout->name = NULL;
  timeout->pool = NULL;
  g_ptr_array_add (world->events, timeout);
}

/* Tells whether all steps that a task's step depends on are done. */
static bool
task_is_in_order (const struct task *task)
{
  const Sp__JobStep *step = task_step (task);

  for (size_t i = 0; i < step->n_prerequisites; i++)
    {
      const Sp__JobStep *before = task->job->definition->steps[step->prerequisites[i]];

      for (uint32_t n = 0; n < before->n_tasks; n++)
        {
          if (!job_task (task->job, task->occurrence, step->prerequisites[i], n)->done)
            return false;
        }
    }
  return true;
}

static void
on_start (void *ctx, struct endpoint *endpoint, struct task *task, int64_t lease_end_ms)
{
  struct world *world = ctx;
  struct event *event = world_order (world, EVENT_START, endpoint);
  const Sp__JobStep *step = task_step (task);

  event->task = task;
  event->name = task_name (task);
  event->attempt = task->attempt;
  event->lease_end_ms = lease_end_ms;
  event->need = task_resources (task);
  event->long_running = step->long_running;
  event->spread_limit = step->spread_limit;
  world->out_of_order += !task_is_in_order (task);
  if (!task_is_in_order (task))
    world_note (world, "OUT OF ORDER: task=%s", event->name);
  world_send (world, event);
}

static void
on_stop (void *ctx, struct endpoint *endpoint, const char *task, uint32_t attempt,
         struct task *known)
{
  struct world *world = ctx;
  struct event *event = world_order (world, EVENT_STOP, endpoint);

  event->task = known;
  event->name = g_strdup (task);
  event->attempt = attempt;
  world_send (world, event);
}

static void
on_hold (void *ctx, struct endpoint *endpoint, int64_t lease_end_ms, int64_t wait_ms)
{
  struct world *world = ctx;
  struct event *event = world_order (world, EVENT_HOLD, endpoint);

  event->lease_end_ms = lease_end_ms;
  event->wait_until_ms = world->now_ms + wait_ms;
  event->acked = endpoint->ends_durable;
  world->holds_with_lease += lease_end_ms > 0;
  world_send (world, event);
}

static void
on_pace (void *ctx, struct endpoint *endpoint, struct task *task, int percent)
{
  struct world *world = ctx;
  struct event *event = world_order (world, EVENT_PACE, endpoint);

  event->task = task;
  event->percent = percent;
  world_send (world, event);
}

static void
on_move (void *ctx, struct host *host, const char *pool)
{
  struct event *event = world_post (ctx, EVENT_MOVE, ANSWER_MS);

  event->host = host;
  event->pool = g_strdup (pool);
}

static void
on_maintain (void *ctx, struct host *host, uint32_t wave)
{
  struct event *event = world_post (ctx, EVENT_MAINTAIN, ANSWER_MS);

  event->host = host;
  event->wave = wave;
}

static void
on_wave (void *ctx, uint32_t wave, bool completed)
{
  struct world *world = ctx;

  (void) wave;
  world->wave_completed = world->wave_completed || completed;
}

static void
on_deposed (void *ctx, const char *why)
{
  (void) why;
  ((struct world *) ctx)->deposed = true;
}

/* Reads the journal into a book. */
static struct job_book *
world_read_journal (struct world *world)
{
  struct job_book *book = g_new (struct job_book, 1);

  job_book_init (book);
  for (guint i = 0; i < world->journal->len; i++)
    job_records_apply (book, g_ptr_array_index (world->journal, i), i, world->now_ms);
  return book;
}

/* Starts a leader under the next epoch, with a new book or the present one. */
static void
world_start_leader (struct world *world, bool again)
{
  struct scheduler_ops ops = {
    .start = on_start,
    .stop = on_stop,
    .hold = on_hold,
    .pace = on_pace,
    .move_host = on_move,
    .maintain_host = on_maintain,
    .wave_state = on_wave,
    .note = on_note,
    .deposed = on_deposed,
    .ctx = world,
  };
  struct scheduler_config config = {
    .epoch = ++world->epoch,
    .claim_offset = world->journal->len,
    .lease_ms = LEASE_MS,
    .stop_ms = STOP_MS,
  };

  world_note (world, "leader: epoch=%" G_GUINT64_FORMAT, world->epoch);
  world->generation++;
  world->flushing = false;
  world->deposed = false;
  if (world->scheduler)
    scheduler_destroy (world->scheduler);
  if (world->book && !again)
    {
      job_book_finish (world->book);
      g_clear_pointer (&world->book, g_free);
    }
  if (!world->book)
    world->book = world_read_journal (world);
  world->scheduler = scheduler_create (&config, &ops, world->book, world->now_ms, world->now_ms);
  for (unsigned i = 0; i < world->n_hosts; i++)
    scheduler_set_pool (world->scheduler, world->hosts[i].pool,
                        g_strcmp0 (world->hosts[i].pool, world->standby) == 0);
  if (world->wave_asked)
    scheduler_wave_asked (world->scheduler, &world->wave, world->now_ms);
  world_list (world);
}

void
world_lead (struct world *world)
{
  world_start_leader (world, false);
}

void
world_lead_again (struct world *world)
{
  world_start_leader (world, true);
}

/* Appends a record. */
static void
world_append (struct world *world, GBytes *record)
{
  g_ptr_array_add (world->journal, g_bytes_ref (record));
  job_records_apply (world->book, record, world->journal->len - 1, world->now_ms);
}

struct job *
world_submit (struct world *world, const char *id, const char *pool, const Sp__JobStep *steps,
              size_t n_steps, uint32_t max_attempts)
{
  struct job_sketch sketch = { .id = id,
                               .pool = pool,
                               .steps = steps,
                               .n_steps = n_steps,
                               .max_attempts = max_attempts,
                               .accepted_ms = world->now_ms,
                               .epoch = world->epoch };
  g_autoptr (GBytes) record = job_records_define (&sketch);
  struct job *job;

  world_append (world, record);
  job = job_book_find (world->book, id);
  scheduler_job_defined (world->scheduler, job, world->now_ms, world->now_ms);
  return job;
}

void
world_cancel (struct world *world, const char *id)
{
  g_autoptr (GBytes) record = job_records_cancel (id);

  world_append (world, record);
  scheduler_job_cancelled (world->scheduler, job_book_find (world->book, id), world->now_ms);
}

/* Gives a task's record by its name, for what must hold of it. */
static struct task *
world_task (const struct world *world, const char *name)
{
  g_auto (GStrv) parts = g_strsplit (name, ".", 4);
  struct job *job = job_book_find (world->book, parts[0]);

  return job ? job_task (job, (uint32_t) atoi (parts[1]), (uint32_t) atoi (parts[2]),
                         (uint32_t) atoi (parts[3]))
             : NULL;
}

struct world_endpoint *
world_find_run (struct world *world, const char *task, struct world_run **found)
{
  for (guint i = 0; i < world->endpoints->len; i++)
    {
      struct world_endpoint *endpoint = g_ptr_array_index (world->endpoints, i);

      for (guint r = 0; r < endpoint->runs->len; r++)
        {
          struct world_run *run = g_ptr_array_index (endpoint->runs, r);

          if (strcmp (run->task, task) != 0)
            continue;
          if (found)
            *found = run;
          return endpoint;
        }
    }
  return NULL;
}

/* Ends a run. */
static void
endpoint_end_run (struct world *world, struct world_endpoint *endpoint, guint at, enum run_end how)
{
  struct world_run *run = g_ptr_array_index (endpoint->runs, at);
  struct world_end *end = g_new (struct world_end, 1);
  uint32_t ended = GPOINTER_TO_UINT (g_hash_table_lookup (endpoint->ended, run->task));

  (void) world;
  *end = (struct world_end){
    .number = ++endpoint->last_end,
    .task = g_strdup (run->task),
    .attempt = run->attempt,
    .how = how,
  };
  g_ptr_array_add (endpoint->ends, end);
  g_hash_table_replace (endpoint->ended, g_strdup (run->task),
                        GUINT_TO_POINTER (MAX (ended, run->attempt)));
  g_ptr_array_remove_index (endpoint->runs, at);
}

/* Lets the runs of an endpoint go on. */
static void
endpoint_run_on (struct world *world, struct world_endpoint *endpoint)
{
  guint at = 0;

  while (endpoint->up && at < endpoint->runs->len)
    {
      const struct world_run *run = g_ptr_array_index (endpoint->runs, at);

      if (world->now_ms > endpoint->lease_end_ms)
        endpoint_end_run (world, endpoint, at, RUN_LAPSED);
      else if (world->now_ms >= run->end_ms)
        endpoint_end_run (world, endpoint, at,
                          run->stopping ? RUN_STOPPED : (run->fails ? RUN_FAILED : RUN_DONE));
      else
        at++;
    }
}

/* Counts what a start breaks. */
static void
world_check_start (struct world *world, struct world_endpoint *endpoint, const struct event *event)
{
  struct resources used = event->need;
  const struct task *task = world_task (world, event->name);
  unsigned same_step = 1;

  struct world_endpoint *other = world_find_run (world, event->name, NULL);

  world->starts++;
  world->doubled += other != NULL;
  world_note (world,
              "start: task=%s attempt=%u endpoint=%s fence=%" G_GUINT64_FORMAT
              " sent=%" G_GINT64_FORMAT "%s%s",
              event->name, event->attempt, endpoint->id, event->fence, event->sent_ms,
              other ? " DOUBLED beside " : "", other ? other->id : "");
  if (task)
    {
      world->started_after_done += task->done;
      if (task->done)
        world_note (world, "AFTER DONE: task=%s", event->name);
      world->over_attempts += task->job->definition->max_attempts > 0 && !event->long_running &&
                              task->n_failed >= task->job->definition->max_attempts;
    }
  for (guint i = 0; i < endpoint->runs->len; i++)
    {
      const struct world_run *run = g_ptr_array_index (endpoint->runs, i);
      size_t step_len = (size_t) (strrchr (event->name, '.') - event->name);

      used.cpu_milli += run->need.cpu_milli;
      used.memory_mb += run->need.memory_mb;
      same_step += strncmp (run->task, event->name, step_len + 1) == 0;
    }
  world->over_room += used.cpu_milli > endpoint->capacity.cpu_milli ||
                      used.memory_mb > endpoint->capacity.memory_mb;
  if (used.cpu_milli > endpoint->capacity.cpu_milli ||
      used.memory_mb > endpoint->capacity.memory_mb)
    world_note (world, "OVER ROOM: endpoint=%s runs=%u", endpoint->id, endpoint->runs->len);
  world->over_spread += event->spread_limit > 0 && same_step > event->spread_limit;
}

/* Carries a start out. */
static enum order_result
endpoint_start (struct world *world, struct world_endpoint *endpoint, const struct event *event)
{
  uint32_t ended = GPOINTER_TO_UINT (g_hash_table_lookup (endpoint->ended, event->name));
  struct world_run *run;

  for (guint i = 0; i < endpoint->runs->len; i++)
    {
      run = g_ptr_array_index (endpoint->runs, i);
      if (strcmp (run->task, event->name) == 0 && run->attempt == event->attempt)
        return ORDER_DONE;
    }
  if (event->attempt <= ended)
    return ORDER_OLD;
  if (event->lease_end_ms <= world->now_ms)
    return ORDER_LATE;
  world_check_start (world, endpoint, event);
  run = g_new0 (struct world_run, 1);
  run->task = g_strdup (event->name);
  run->attempt = event->attempt;
  run->start_ms = world->now_ms;
  run->end_ms = event->long_running ? INT64_MAX : world->now_ms + world->work_ms;
  run->fails = world_chance (world, world->fail_permille);
  if (endpoint->sick)
    {
      run->fails = true;
      run->end_ms = world->now_ms + SICK_MS;
    }
  run->long_running = event->long_running;
  run->need = event->need;
  g_ptr_array_add (endpoint->runs, run);
  endpoint->lease_end_ms = MAX (endpoint->lease_end_ms, event->lease_end_ms);
  return ORDER_DONE;
}

/* Counts the lasting tasks of a run's step that are not at work. */
static unsigned
world_count_away (struct world *world, const char *name)
{
  const struct task *task = world_task (world, name);
  unsigned away = 0;

  for (uint32_t i = 0; i < task_step (task)->n_tasks; i++)
    {
      g_autofree char *other = task_name (job_task (task->job, task->occurrence, task->step, i));
      struct world_run *run = NULL;

      if (strcmp (other, name) == 0)
        continue;
      world_find_run (world, other, &run);
      away += !run || run->stopping || world->now_ms - run->start_ms < AT_WORK_MS;
    }
  return away;
}

/* Carries a stop out. */
static enum order_result
endpoint_stop (struct world *world, struct world_endpoint *endpoint, const struct event *event)
{
  uint32_t ended = GPOINTER_TO_UINT (g_hash_table_lookup (endpoint->ended, event->name));

  for (guint i = 0; i < endpoint->runs->len; i++)
    {
      struct world_run *run = g_ptr_array_index (endpoint->runs, i);
      const struct task *task = world_task (world, event->name);

      if (strcmp (run->task, event->name) != 0 || run->attempt != event->attempt || run->stopping)
        continue;
      if (run->long_running && task && task_step (task)->away_limit > 0 && !task->job->cancelled &&
          world->now_ms - run->start_ms >= AT_WORK_MS)
        world->over_away_limit +=
            world_count_away (world, event->name) + 1 > task_step (task)->away_limit;
      run->stopping = true;
      run->end_ms = MIN (run->end_ms, world->now_ms + STOP_MS);
    }
  g_hash_table_replace (endpoint->ended, g_strdup (event->name),
                        GUINT_TO_POINTER (MAX (ended, event->attempt)));
  return ORDER_DONE;
}

/* Carries an order out at its endpoint. */
static enum order_result
endpoint_obey (struct world *world, struct event *event)
{
  struct world_endpoint *endpoint = event->target;

  if (!endpoint->up || endpoint->dark)
    return ORDER_NOT_SENT;
  endpoint_run_on (world, endpoint);
  if (event->fence < endpoint->fence)
    return ORDER_FENCED;
  endpoint->fence = event->fence;
  if (event->kind == EVENT_START)
    return endpoint_start (world, endpoint, event);
  if (event->kind == EVENT_STOP)
    return endpoint_stop (world, endpoint, event);
  if (event->kind != EVENT_HOLD)
    return ORDER_DONE;
  endpoint->lease_end_ms = MAX (endpoint->lease_end_ms, event->lease_end_ms);
  while (endpoint->ends->len > 0 &&
         ((struct world_end *) g_ptr_array_index (endpoint->ends, 0))->number <= event->acked)
    g_ptr_array_remove_index (endpoint->ends, 0);
  return ORDER_DONE;
}

/* Gives the scheduler the answer to a hold. */
static void
world_answer_hold (struct world *world, const struct event *event)
{
  struct world_endpoint *endpoint = event->target;
  g_autofree struct endpoint_run *runs = g_new0 (struct endpoint_run, endpoint->runs->len + 1);
  g_autofree struct endpoint_end *ends = g_new0 (struct endpoint_end, endpoint->ends->len + 1);
  struct endpoint_report report = {
    .clock_ms = world->now_ms,
    .born_ms = endpoint->born_ms,
    .runs = runs,
    .n_runs = endpoint->runs->len,
    .ends = ends,
    .n_ends = endpoint->ends->len,
  };

  for (guint i = 0; i < endpoint->runs->len; i++)
    {
      const struct world_run *run = g_ptr_array_index (endpoint->runs, i);
      int64_t spent_ms = world->now_ms - run->start_ms;

      runs[i] = (struct endpoint_run){
        .task = run->task,
        .attempt = run->attempt,
        .percent = run->long_running ? (spent_ms >= AT_WORK_MS ? 100 : 10)
                                     : (int) MIN (99, spent_ms * 100 / world->work_ms),
      };
    }
  for (guint i = 0; i < endpoint->ends->len; i++)
    {
      const struct world_end *end = g_ptr_array_index (endpoint->ends, i);

      ends[i] = (struct endpoint_end){
        .number = end->number,
        .task = end->task,
        .attempt = end->attempt,
        .how = end->how,
      };
    }
  scheduler_hold_done (world->scheduler, event->endpoint, event->fence, event->result,
                       event->result == ORDER_DONE ? &report : NULL, event->acked, event->sent_ms,
                       world->now_ms);
}

/* Gives the scheduler an answer. Those to a former leader go nowhere. */
static void
world_answer (struct world *world, const struct event *event)
{
  if (event->generation != world->generation)
    return;
  switch (event->kind)
    {
    case EVENT_START:
      scheduler_start_done (world->scheduler, event->endpoint, event->task, event->attempt,
                            event->fence, event->result,
                            event->result == ORDER_UNKNOWN ? 0 : world->now_ms, world->now_ms);
      break;
    case EVENT_STOP:
      scheduler_stop_done (world->scheduler, event->endpoint, event->task, event->attempt,
                           event->fence, event->result, world->now_ms);
      break;
    case EVENT_HOLD:
      world_answer_hold (world, event);
      break;
    case EVENT_PACE:
      scheduler_pace_done (world->scheduler, event->endpoint, event->task, event->percent,
                           event->fence, event->result);
      break;
    default:
      break;
    }
}

/* A host leaves its present life. */
static struct world_host *
world_end_life (struct world *world, const char *id, enum host_state state, int64_t for_ms)
{
  for (unsigned i = 0; i < world->n_hosts; i++)
    {
      struct world_host *host = &world->hosts[i];

      if (strcmp (host->id, id) != 0)
        continue;
      host->state = state;
      host->up_ms = world->now_ms + for_ms;
      if (host->endpoint >= 0)
        {
          struct world_endpoint *endpoint = g_ptr_array_index (world->endpoints, host->endpoint);

          endpoint->up = false;
          endpoint->listed = false;
          g_ptr_array_set_size (endpoint->runs, 0);
        }
      host->endpoint = -1;
      return host;
    }
  return NULL;
}

/* Carries a move out. */
static void
world_move (struct world *world, const struct event *event)
{
  struct world_host *host;

  if (event->generation != world->generation)
    return;
  host = world_end_life (world, event->host->id, HOST_MOVING, MOVE_MS);
  g_free (host->pool);
  host->pool = g_strdup (event->pool);
  world->moves++;
  scheduler_move_done (world->scheduler, event->host, HOST_ORDER_DONE, world->now_ms);
}

/* Carries a maintenance out. */
static void
world_maintain (struct world *world, const struct event *event)
{
  struct world_host *host;
  unsigned away = 0;

  if (event->generation != world->generation)
    return;
  for (unsigned i = 0; i < world->n_hosts; i++)
    {
      away += world->hosts[i].state == HOST_IN_MAINTENANCE;
      if (strcmp (world->hosts[i].id, event->host->id) == 0 &&
          world->hosts[i].maintained_in == event->wave)
        {
          /* Done before: nothing happens. */
          scheduler_maintain_done (world->scheduler, event->host, event->wave, HOST_ORDER_DONE,
                                   world->now_ms);
          return;
        }
    }
  world->over_wave_limit += away >= world->wave.most_at_once;
  host = world_end_life (world, event->host->id, HOST_IN_MAINTENANCE, MAINTENANCE_MS);
  host->maintained_in = event->wave;
  scheduler_maintain_done (world->scheduler, event->host, event->wave, HOST_ORDER_DONE,
                           world->now_ms);
}

/* Makes what was collected durable. */
static void
world_flush (struct world *world, const struct event *event)
{
  if (event->generation != world->generation)
    return;
  for (guint i = 0; i < world->flush->len; i++)
    world_append (world, g_ptr_array_index (world->flush, i));
  g_ptr_array_set_size (world->flush, 0);
  world->flushing = false;
  scheduler_flushed (world->scheduler, true, world->now_ms);
}

/* Deals with one event. An order's answer is posted anew. */
static void
world_deal (struct world *world, struct event *event)
{
  struct event *answer;

  switch (event->kind)
    {
    case EVENT_MOVE:
      world_move (world, event);
      return;
    case EVENT_MAINTAIN:
      world_maintain (world, event);
      return;
    case EVENT_FLUSH:
      world_flush (world, event);
      return;
    default:
      break;
    }
  if (event->answer)
    {
      world_answer (world, event);
      return;
    }
  if (event->kind == EVENT_HOLD && event->wait_until_ms > world->now_ms && event->target->up &&
      !event->target->dark && event->target->ends->len == 0)
    {
      /* The lease counts from the arrival; the answer waits for an end. */
      event->target->lease_end_ms = MAX (event->target->lease_end_ms, event->lease_end_ms);
      answer = world_post (world, event->kind, TURN_MS);
      *answer = (struct event){ .kind = EVENT_HOLD,
                                .due_ms = world->now_ms + TURN_MS,
                                .generation = event->generation,
                                .fence = event->fence,
                                .target = event->target,
                                .endpoint = event->endpoint,
                                .lease_end_ms = event->lease_end_ms,
                                .wait_until_ms = event->wait_until_ms,
                                .sent_ms = event->sent_ms,
                                .acked = event->acked,
                                .silent = event->silent };
      return;
    }
  event->result = endpoint_obey (world, event);
  if (event->silent)
    return;
  answer = world_post (world, event->kind, ANSWER_MS / 2);
  {
    int64_t due_ms = answer->due_ms;

    *answer = *event;
    answer->due_ms = due_ms;
    answer->name = NULL;
    answer->pool = NULL;
    answer->answer = true;
  }
}

/* Deals with all events that are due, in the order of their times. */
static void
world_deal_due (struct world *world)
{
  for (;;)
    {
      guint first = 0;
      struct event *event;

      if (world->events->len == 0)
        return;
      for (guint i = 1; i < world->events->len; i++)
        {
          const struct event *a = g_ptr_array_index (world->events, i);
          const struct event *b = g_ptr_array_index (world->events, first);

          if (a->due_ms < b->due_ms)
            first = i;
        }
      event = g_ptr_array_index (world->events, first);
      if (event->due_ms > world->now_ms)
        return;
      g_ptr_array_steal_index (world->events, first);
      world_deal (world, event);
      event_destroy (event);
    }
}

static void
world_add_record (void *ctx, const Sp__JobRecord *record)
{
  g_ptr_array_add (((struct world *) ctx)->flush, job_record_pack (record));
}

/* Brings hosts back whose time away is over. */
static void
world_return_hosts (struct world *world)
{
  for (unsigned i = 0; i < world->n_hosts; i++)
    {
      struct world_host *host = &world->hosts[i];

      if ((host->state != HOST_MOVING && host->state != HOST_IN_MAINTENANCE) ||
          world->now_ms < host->up_ms)
        continue;
      host->state = HOST_UP;
      if (g_strcmp0 (host->pool, world->standby) != 0)
        world_add_endpoint (world, host);
    }
}

/* Turns the world by one turn of the leader. */
static void
world_turn (struct world *world)
{
  for (int64_t end_ms = world->now_ms + TURN_MS; world->now_ms < end_ms; world->now_ms += 2)
    {
      for (unsigned i = 0; i < world->endpoints->len; i++)
        endpoint_run_on (world, g_ptr_array_index (world->endpoints, i));
      world_deal_due (world);
    }
  world_return_hosts (world);
  if (world->now_ms >= world->next_list_ms)
    {
      world->next_list_ms = world->now_ms + LIST_MS;
      world_list (world);
    }
  scheduler_tick (world->scheduler, world->now_ms, world->now_ms);
  if (!world->flushing && !world->store_away && scheduler_is_dirty (world->scheduler))
    {
      world->flushing = true;
      if (!world->flush)
        world->flush = g_ptr_array_new_with_free_func ((GDestroyNotify) g_bytes_unref);
      g_ptr_array_set_size (world->flush, 0);
      scheduler_collect (world->scheduler, world_add_record, world);
      world_post (world, EVENT_FLUSH, FLUSH_MS);
    }
}

void
world_run (struct world *world, int64_t ms)
{
  int64_t end_ms = world->now_ms + ms;

  while (world->now_ms < end_ms)
    world_turn (world);
}

void
world_crash (struct world *world, struct world_endpoint *endpoint, bool reborn)
{
  g_ptr_array_set_size (endpoint->runs, 0);
  g_ptr_array_set_size (endpoint->ends, 0);
  g_hash_table_remove_all (endpoint->ended);
  endpoint->last_end = 0;
  endpoint->fence = 0;
  endpoint->lease_end_ms = 0;
  endpoint->up = reborn;
  if (reborn)
    endpoint->born_ms = 1000000 + world->now_ms;
}

Sp__JobState
world_state (const struct world *world, const char *id)
{
  return job_book_find (world->book, id)->state;
}

unsigned
world_violations (const struct world *world)
{
  return world->doubled + world->started_after_done + world->over_room + world->over_spread +
         world->out_of_order + world->over_attempts + world->over_away_limit +
         world->over_wave_limit;
}
