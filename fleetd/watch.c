#include "fleetd.h"

#include <string.h>

#include "common/log.h"

enum
{
  /* Time for a record to be read back. A host's record is sent again after this time, which doubles
   * with each repetition, up to SEEN_DOUBLINGS times. */
  SEEN_WAIT_MS = 5000,
  SEEN_DOUBLINGS = 6,
  SEEN_BATCH = 200,
};

/* Returns a copy of a host list entry. */
static Sp__HostSeen *
seen_copy (const Sp__HostSeen *seen)
{
  size_t len = sp__host_seen__get_packed_size (seen);
  g_autofree uint8_t *data = g_malloc (len + 1);

  sp__host_seen__pack (seen, data);
  return sp__host_seen__unpack (NULL, len, data);
}

static void
seen_host_free (void *data)
{
  struct seen_host *host = data;

  sp__host_seen__free_unpacked (host->seen, NULL);
  g_free (host);
}

/* Returns whether a host list entry contains something that the state lacks. The pool of a host is
 * compared only for unknown hosts: from then on the log determines the pool, not the list. */
static bool
seen_differs (const struct fleet *fleet, const Sp__HostSeen *seen)
{
  const struct host *host = fleet_find_host (fleet, seen->host);

  if (!host)
    return seen->presence != SP__HOST_PRESENCE__HOST_PRESENCE_GONE && seen->pool[0] != '\0';
  if (seen->list_version <= host->list_version)
    return false;
  return host->presence != seen->presence || host->port != seen->port ||
         strcmp (host->address, seen->address) != 0 ||
         strcmp (host->host_class, seen->host_class) != 0 || strcmp (host->rack, seen->rack) != 0 ||
         strcmp (host->data_centre, seen->data_centre) != 0;
}

/* Submits a host list entry to the log. */
static void
seen_send (struct fleetd *fleetd, struct seen_host *host)
{
  Sp__Record *record = malloc (sizeof *record);

  sp__record__init (record);
  record->body_case = SP__RECORD__BODY_HOST_SEEN;
  record->host_seen = seen_copy (host->seen);
  host->again_ms =
      fleetd->clock.now_ms + ((int64_t) SEEN_WAIT_MS << MIN (host->n_sent, SEEN_DOUBLINGS));
  host->n_sent++;
  writer_submit (&fleetd->writer, record, fleetd->settings->name, SEEN_WAIT_MS, NULL, NULL);
}

/* Submits the differences between the host list and the state, if this fleetd holds the claim. */
static void
watch_send_differences (struct watch *watch)
{
  struct fleetd *fleetd = watch->fleetd;
  GHashTableIter iter;
  struct seen_host *host;
  uint32_t n = 0;

  if (!fleetd_is_ready (fleetd) || fleetd->stopping || !carrier_holds_claim (&fleetd->carrier))
    return;
  g_hash_table_iter_init (&iter, watch->hosts);
  while (n < SEEN_BATCH && g_hash_table_iter_next (&iter, NULL, (void **) &host))
    {
      if (fleetd->clock.now_ms < host->again_ms || !seen_differs (fleetd->fleet, host->seen))
        continue;
      seen_send (fleetd, host);
      n++;
    }
}

/* Stores one host of the list. If it has just begun to leave, hints that to the entryds
 * immediately, without waiting for the log. */
static void
watch_take_host (struct watch *watch, const Sp__HostSeen *seen)
{
  struct seen_host *host = g_new0 (struct seen_host, 1);
  const struct host *known = fleet_find_host (watch->fleetd->fleet, seen->host);

  host->seen = seen_copy (seen);
  g_hash_table_replace (watch->hosts, host->seen->host, host);
  if (known && known->presence == SP__HOST_PRESENCE__HOST_PRESENCE_LIVE &&
      seen->presence != SP__HOST_PRESENCE__HOST_PRESENCE_LIVE &&
      seen->list_version > known->list_version)
    feed_hint_leaving (&watch->fleetd->feed, seen->host);
}

/* Handles a response with changes of the host list. */
static void
watch_hosts_read (void *ctx, int result, const struct platform_hosts *hosts)
{
  struct watch *watch = ctx;

  clock_update (&watch->fleetd->clock);
  watch->hosts_busy = false;
  if (result < 0)
    return;
  watch->list_version = hosts->version;
  for (size_t i = 0; i < hosts->n_hosts; i++)
    watch_take_host (watch, hosts->hosts[i]);
  watch_send_differences (watch);
}

/* Reads the host list periodically. */
static void
watch_hosts_due (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct watch *watch = timer->data;
  struct fleetd *fleetd = watch->fleetd;

  (void) loop;
  (void) events;
  clock_update (&fleetd->clock);
  fleetd_set_timer (fleetd, timer, fleetd->settings->host_list_period_ms);
  if (watch->hosts_busy || !fleetd_is_ready (fleetd))
    return;
  watch->hosts_busy = true;
  fleetd->platform->hosts (fleetd->platform->self, watch->list_version, watch_hosts_read, watch);
}

/* Handles the result of a usage record. If it was not read back, all reports are read again. */
static void
watch_usage_written (void *ctx, const struct write_result *result)
{
  struct watch *watch = ctx;

  if (result->outcome != WRITE_READ_BACK)
    watch->usage_unread = true;
}

/* Submits a usage report unless the state already has it. */
static void
watch_send_usage (struct watch *watch, const Sp__UsageReport *report)
{
  struct fleetd *fleetd = watch->fleetd;
  const struct host *host = fleet_find_host (fleetd->fleet, report->host);
  size_t len = sp__usage_report__get_packed_size (report);
  g_autofree uint8_t *data = NULL;
  Sp__Record *record;

  if (host && (int64_t) report->to_ms <= host->usage_until_ms)
    return;
  data = g_malloc (len + 1);
  sp__usage_report__pack (report, data);
  record = malloc (sizeof *record);
  sp__record__init (record);
  record->body_case = SP__RECORD__BODY_USAGE;
  record->usage = sp__usage_report__unpack (NULL, len, data);
  if (writer_submit (&fleetd->writer, record, fleetd->settings->name, SEEN_WAIT_MS,
                     watch_usage_written, watch) < 0)
    watch->usage_unread = true;
}

/* Handles a response with usage reports. */
static void
watch_usage_read (void *ctx, int result, const struct platform_usage *usage)
{
  struct watch *watch = ctx;
  struct fleetd *fleetd = watch->fleetd;

  clock_update (&fleetd->clock);
  watch->usage_busy = false;
  if (result < 0 || !carrier_holds_claim (&fleetd->carrier))
    return;
  watch->usage_since = usage->next;
  for (size_t i = 0; i < usage->n_reports; i++)
    watch_send_usage (watch, usage->reports[i]);
}

/* Submits the lines of an invoice. If it could not be read, it is requested again. */
static void
watch_invoice_read (void *ctx, int result, const struct platform_invoice *invoice)
{
  struct watch *watch = ctx;
  struct fleetd *fleetd = watch->fleetd;

  clock_update (&fleetd->clock);
  if (result < 0)
    {
      watch->invoiced_month[0] = '\0';
      return;
    }
  for (size_t i = 0; i < invoice->n_lines; i++)
    {
      Sp__Record *record = malloc (sizeof *record);
      size_t len = sp__invoice_line__get_packed_size (invoice->lines[i]);
      g_autofree uint8_t *data = g_malloc (len + 1);

      sp__invoice_line__pack (invoice->lines[i], data);
      sp__record__init (record);
      record->body_case = SP__RECORD__BODY_INVOICE;
      record->invoice = sp__invoice_line__unpack (NULL, len, data);
      writer_submit (&fleetd->writer, record, fleetd->settings->name, SEEN_WAIT_MS, NULL, NULL);
    }
}

/* The month whose invoice to request next. */
struct invoice_month
{
  char month[8];
  bool invoiced;
  char last[8];
};

/* Finds the latest month with usage, and the oldest month with usage that has no invoice. */
static void
invoice_visit (const struct usage_month *usage, void *ctx)
{
  struct invoice_month *found = ctx;

  if (strcmp (usage->month, found->last) > 0)
    g_strlcpy (found->last, usage->month, sizeof found->last);
  if (!usage->invoiced && usage->host_ms > 0 &&
      (found->month[0] == '\0' || strcmp (usage->month, found->month) < 0))
    g_strlcpy (found->month, usage->month, sizeof found->month);
}

/* Requests the invoice of the oldest month that is over and has none. */
static void
watch_ask_invoice (struct watch *watch)
{
  struct fleetd *fleetd = watch->fleetd;
  struct invoice_month found = { 0 };

  fleet_visit_usage (fleetd->fleet, NULL, invoice_visit, &found);
  if (found.month[0] == '\0' || strcmp (found.month, found.last) >= 0 ||
      strcmp (found.month, watch->invoiced_month) == 0)
    return;
  g_strlcpy (watch->invoiced_month, found.month, sizeof watch->invoiced_month);
  fleetd->platform->invoice (fleetd->platform->self, found.month, watch_invoice_read, watch);
}

/* Reads usage reports and invoices periodically while this fleetd holds the claim. If some reports
 * did not reach the log, all are read again; those that the state already has are skipped. */
static void
watch_usage_due (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct watch *watch = timer->data;
  struct fleetd *fleetd = watch->fleetd;

  (void) loop;
  (void) events;
  clock_update (&fleetd->clock);
  fleetd_set_timer (fleetd, timer, fleetd->settings->usage_period_ms);
  if (!fleetd_is_ready (fleetd) || fleetd->stopping || watch->usage_busy)
    return;
  if (!carrier_holds_claim (&fleetd->carrier))
    {
      watch->usage_since = 0;
      return;
    }
  if (watch->usage_unread)
    watch->usage_since = 0;
  watch->usage_unread = false;
  watch->usage_busy = true;
  fleetd->platform->usage (fleetd->platform->self, watch->usage_since, watch_usage_read, watch);
  watch_ask_invoice (watch);
}

void
watch_init (struct watch *watch, struct fleetd *fleetd)
{
  watch->fleetd = fleetd;
  watch->hosts = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, seen_host_free);
  ev_init (&watch->hosts_timer, watch_hosts_due);
  watch->hosts_timer.data = watch;
  ev_init (&watch->usage_timer, watch_usage_due);
  watch->usage_timer.data = watch;
  fleetd_set_timer (fleetd, &watch->hosts_timer, 0);
  fleetd_set_timer (fleetd, &watch->usage_timer, fleetd->settings->usage_period_ms);
}

void
watch_finish (struct watch *watch)
{
  ev_timer_stop (watch->fleetd->loop, &watch->hosts_timer);
  ev_timer_stop (watch->fleetd->loop, &watch->usage_timer);
  g_hash_table_unref (watch->hosts);
}
