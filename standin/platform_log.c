#include "platform.h"

#include <stdio.h>
#include <string.h>

#include "record.pb-c.h"

enum
{
  MS_PER_S = 1000,
  PAGE_ENTRIES_MAX = 1000,
  PAGE_DUPLICATES_MAX = 3,
};

/* Returns the offset of the next append. */
static uint64_t
log_next_offset (const struct platform *platform)
{
  return platform->first_offset + platform->entries->len;
}

/* Frees the batch of one entry. */
static void
log_entry_clear (void *data)
{
  struct log_entry *entry = data;

  g_bytes_unref (entry->batch);
}

/* Drops the oldest entries until at most keep are left. */
void
standin_log_trim (struct platform *platform, uint64_t keep)
{
  if (platform->entries->len <= keep)
    return;
  uint64_t drop = platform->entries->len - keep;
  g_array_remove_range (platform->entries, 0, (guint) drop);
  platform->first_offset += drop;
}

/* Counts an append and returns whether it is within the rate limit for this second. */
static bool
log_admit_append (struct platform *platform)
{
  int64_t second = platform->clock.now_ms / MS_PER_S;

  if (second != platform->append_second)
    {
      platform->append_second = second;
      platform->appends_in_second = 0;
    }
  return platform->appends_in_second++ < platform->settings->append_rate;
}

/* Adds one entry to a page. Its batch is unpacked here and freed with the page. */
static void
page_add (Sp__LogPage *page, const struct log_entry *from)
{
  Sp__LogEntry *entry = g_new (Sp__LogEntry, 1);
  gsize size;
  const uint8_t *data = g_bytes_get_data (from->batch, &size);

  sp__log_entry__init (entry);
  entry->offset = from->offset;
  entry->batch = sp__batch__unpack (NULL, size, data);
  page->entries[page->n_entries++] = entry;
}

/* Adds, with the probability duplicate_permille, a few entries before the offset: reads may return
 * entries twice. */
static void
page_add_duplicates (struct platform *platform, Sp__LogPage *page, uint64_t from)
{
  uint64_t at = from > platform->first_offset + PAGE_DUPLICATES_MAX ? from - PAGE_DUPLICATES_MAX
                                                                    : platform->first_offset;

  if (g_rand_int_range (platform->random, 0, 1000) >= (gint32) platform->faults.duplicate_permille)
    return;
  for (; at < from && at < log_next_offset (platform); at++)
    page_add (page,
              &g_array_index (platform->entries, struct log_entry, at - platform->first_offset));
}

/* Packs the page that starts at an offset. */
static GBytes *
log_page (struct platform *platform, uint64_t from, uint32_t max)
{
  Sp__LogPage page = SP__LOG_PAGE__INIT;
  uint64_t at = MAX (from, platform->first_offset);
  uint8_t *data;
  size_t size;

  page.first = platform->first_offset;
  page.next = log_next_offset (platform);
  page.entries = g_new0 (Sp__LogEntry *, max + PAGE_DUPLICATES_MAX);
  page_add_duplicates (platform, &page, at);
  for (uint32_t n = 0; n < max && at < log_next_offset (platform); n++, at++)
    page_add (&page,
              &g_array_index (platform->entries, struct log_entry, at - platform->first_offset));
  size = sp__log_page__get_packed_size (&page);
  data = g_malloc (size + 1);
  sp__log_page__pack (&page, data);
  for (size_t i = 0; i < page.n_entries; i++)
    {
      sp__batch__free_unpacked (page.entries[i]->batch, NULL);
      g_free (page.entries[i]);
    }
  g_free (page.entries);
  return g_bytes_new_take (data, size);
}

/* Answers a read with a page. */
static void
log_answer_page (struct platform *platform, struct http_request *request, uint64_t from,
                 uint32_t max)
{
  platform_answer (platform, request, 200, "application/x-protobuf", log_page (platform, from, max),
                   platform->faults.log_slow_ms);
}

/* Answers the long polls that now have an entry to read. */
static void
log_answer_ready_polls (struct platform *platform)
{
  struct open_request *open = LIST_FIRST (&platform->open_requests);

  while (open)
    {
      struct open_request *next = LIST_NEXT (open, link);

      if (open->is_long_poll && open->from < log_next_offset (platform))
        {
          struct http_request *request = open->request;
          uint64_t from = open->from;
          uint32_t max = open->max;

          open_request_destroy (open);
          log_answer_page (platform, request, from, max);
        }
      open = next;
    }
}

/* If the log is not up, answers with 503 or withholds the answer. Returns whether it did. */
static bool
log_reject_unless_up (struct platform *platform, struct http_request *request)
{
  if (platform->faults.log == LOG_UP)
    return false;
  if (platform->faults.log == LOG_UNRESPONSIVE)
    platform_withhold_answer (platform, request);
  else
    platform_answer_json (platform, request, 503, json_pack ("{s:s}", "reason", "log down"), 0);
  return true;
}

/* Handles an append. The record is kept even if a fault withholds the answer. */
void
standin_log_append (struct platform *platform, struct http_request *request)
{
  struct log_entry entry = { .offset = log_next_offset (platform) };
  Sp__Batch *batch;
  const void *body;
  size_t len;

  if (log_reject_unless_up (platform, request))
    return;
  if (!log_admit_append (platform))
    {
      platform_answer_json (platform, request, 429, json_pack ("{s:s}", "reason", "rate"), 0);
      return;
    }
  body = http_request_body (request, &len);
  batch = sp__batch__unpack (NULL, len, body);
  if (!batch)
    {
      platform_answer_json (platform, request, 400, json_pack ("{s:s}", "reason", "no batch"), 0);
      return;
    }
  sp__batch__free_unpacked (batch, NULL);
  entry.batch = g_bytes_new (body, len);
  g_array_append_val (platform->entries, entry);
  standin_log_trim (platform, platform->settings->retention);
  if (platform_loses_answer (platform))
    platform_withhold_answer (platform, request);
  else
    platform_answer_json (platform, request, 200,
                          json_pack ("{s:I}", "offset", (json_int_t) entry.offset),
                          platform->faults.log_slow_ms);
  log_answer_ready_polls (platform);
}

/* Answers a long poll that got no entry in time with a page without new entries. */
static void
log_on_poll_timeout (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct open_request *open = timer->data;
  struct platform *platform = open->platform;
  struct http_request *request = open->request;
  uint64_t from = open->from;

  (void) loop;
  (void) events;
  clock_update (&platform->clock);
  open_request_destroy (open);
  log_answer_page (platform, request, from, 1);
}

/* Handles a read from an offset. If there is nothing to read, it waits for the next entry. */
void
standin_log_read (struct platform *platform, struct http_request *request)
{
  uint64_t from = request_number (request, "from", 1);
  uint32_t max =
      (uint32_t) CLAMP (request_number (request, "max", PAGE_ENTRIES_MAX), 1, PAGE_ENTRIES_MAX);
  uint64_t wait_ms = request_number (request, "wait", 0);
  struct open_request *open;

  if (log_reject_unless_up (platform, request))
    return;
  if (from < log_next_offset (platform) || wait_ms == 0)
    {
      log_answer_page (platform, request, from, max);
      return;
    }
  open = open_request_create (platform, request);
  open->is_long_poll = true;
  open->from = from;
  open->max = max;
  ev_timer_init (&open->timer, log_on_poll_timeout, (double) wait_ms / MS_PER_S, 0.);
  open->timer.data = open;
  ev_timer_start (platform->loop, &open->timer);
}

/* Initializes an empty log whose first entry will have offset 1. */
void
standin_log_init (struct platform *platform)
{
  platform->entries = g_array_new (FALSE, FALSE, sizeof (struct log_entry));
  g_array_set_clear_func (platform->entries, log_entry_clear);
  platform->first_offset = 1;
}

void
standin_log_finish (struct platform *platform)
{
  g_array_unref (platform->entries);
}
