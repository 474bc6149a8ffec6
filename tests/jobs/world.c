#include "world.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "job_records.h"
#include "world_state.h"

/* The world's time, its journal and its leaders. */

/* Writes a line about the world if the variable asks for it. */
void
world_note (const struct world *world, const char *format, ...)
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
bool
world_chance (struct world *world, int permille)
{
  return permille > 0 && g_rand_int_range (world->random, 0, PERMILLE) < permille;
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

/* Appends a record. */
static void
world_append (struct world *world, GBytes *record)
{
  g_ptr_array_add (world->journal, g_bytes_ref (record));
  job_records_apply (world->book, record, world->journal->len - 1, world->now_ms);
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
struct task *
world_task (const struct world *world, const char *name)
{
  g_auto (GStrv) parts = g_strsplit (name, ".", 4);
  struct job *job = job_book_find (world->book, parts[0]);

  return job ? job_task (job, (uint32_t) atoi (parts[1]), (uint32_t) atoi (parts[2]),
                         (uint32_t) atoi (parts[3]))
             : NULL;
}

/* Makes what was collected durable. */
void
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

static void
world_add_record (void *ctx, const Sp__JobRecord *record)
{
  g_ptr_array_add (((struct world *) ctx)->flush, job_record_pack (record));
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
