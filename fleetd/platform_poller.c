#include "fleetd.h"

#include <string.h>

#include "common/log.h"

enum
{
  /* Time for a record to be read back. A host's record is sent again after this time, which doubles
   * with each repetition, up to HOST_RESEND_MAX_DOUBLINGS times. */
  RECORD_WAIT_MS = 5000,
  HOST_RESEND_MAX_DOUBLINGS = 6,
  MAX_HOSTS_PER_PASS = 200,
};

/* Returns a copy of a host list entry. */
static Sp__HostSeen *
host_seen_copy (const Sp__HostSeen *seen)
{
  size_t len = sp__host_seen__get_packed_size (seen);
  g_autofree uint8_t *data = g_malloc (len + 1);

  sp__host_seen__pack (seen, data);
  return sp__host_seen__unpack (NULL, len, data);
}

static void
listed_host_free (void *data)
{
  struct listed_host *host = data;

  sp__host_seen__free_unpacked (host->seen, NULL);
  g_free (host);
}

/* Returns whether a host list entry contains something that the state lacks. The pool of a host is
 * compared only for unknown hosts: from then on the log determines the pool, not the list. */
static bool
host_seen_differs (const struct fleet *fleet, const Sp__HostSeen *seen)
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
listed_host_submit (struct fleetd *fleetd, struct listed_host *host)
{
  Sp__Record *record = malloc (sizeof *record);

  sp__record__init (record);
  record->body_case = SP__RECORD__BODY_HOST_SEEN;
  record->host_seen = host_seen_copy (host->seen);
  host->resend_ms = fleetd->clock.now_ms +
                    ((int64_t) RECORD_WAIT_MS << MIN (host->n_sent, HOST_RESEND_MAX_DOUBLINGS));
  host->n_sent++;
  log_writer_submit (&fleetd->writer, record, fleetd->settings->name, RECORD_WAIT_MS, NULL, NULL);
}

/* Submits the differences between the host list and the state, if this fleetd holds the claim. */
static void
platform_poller_submit_differences (struct platform_poller *poller)
{
  struct fleetd *fleetd = poller->fleetd;
  GHashTableIter iter;
  struct listed_host *host;
  uint32_t n = 0;

  if (!fleetd_is_ready (fleetd) || fleetd->stopping ||
      !executor_driver_holds_claim (&fleetd->executor_driver))
    return;
  g_hash_table_iter_init (&iter, poller->hosts);
  while (n < MAX_HOSTS_PER_PASS && g_hash_table_iter_next (&iter, NULL, (void **) &host))
    {
      if (fleetd->clock.now_ms < host->resend_ms || !host_seen_differs (fleetd->fleet, host->seen))
        continue;
      listed_host_submit (fleetd, host);
      n++;
    }
}

/* Stores one host of the list. If it has just begun to leave, hints that to the entryds
 * immediately, without waiting for the log. */
static void
platform_poller_store_host (struct platform_poller *poller, const Sp__HostSeen *seen)
{
  struct listed_host *host = g_new0 (struct listed_host, 1);
  const struct host *known = fleet_find_host (poller->fleetd->fleet, seen->host);

  host->seen = host_seen_copy (seen);
  g_hash_table_replace (poller->hosts, host->seen->host, host);
  if (known && known->presence == SP__HOST_PRESENCE__HOST_PRESENCE_LIVE &&
      seen->presence != SP__HOST_PRESENCE__HOST_PRESENCE_LIVE &&
      seen->list_version > known->list_version)
    feed_hint_leaving (&poller->fleetd->feed, seen->host);
}

/* Handles a response with changes of the host list. */
static void
platform_poller_hosts_done (void *ctx, int result, const struct platform_hosts *hosts)
{
  struct platform_poller *poller = ctx;

  clock_update (&poller->fleetd->clock);
  poller->hosts_pending = false;
  if (result < 0)
    return;
  poller->list_version = hosts->version;
  for (size_t i = 0; i < hosts->n_hosts; i++)
    platform_poller_store_host (poller, hosts->hosts[i]);
  platform_poller_submit_differences (poller);
}

/* Reads the host list periodically. */
static void
platform_poller_hosts_due (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct platform_poller *poller = timer->data;
  struct fleetd *fleetd = poller->fleetd;

  (void) loop;
  (void) events;
  clock_update (&fleetd->clock);
  fleetd_set_timer (fleetd, timer, fleetd->settings->host_list_period_ms);
  if (poller->hosts_pending || !fleetd_is_ready (fleetd))
    return;
  poller->hosts_pending = true;
  fleetd->platform->hosts (fleetd->platform->self, poller->list_version, platform_poller_hosts_done,
                           poller);
}

/* Handles the result of a usage record. If it was not read back, all reports are read again. */
static void
platform_poller_usage_written (void *ctx, const struct write_result *result)
{
  struct platform_poller *poller = ctx;

  if (result->outcome != WRITE_READ_BACK)
    poller->usage_reread = true;
}

/* Submits a usage report unless the state already has it. */
static void
platform_poller_submit_usage (struct platform_poller *poller, const Sp__UsageReport *report)
{
  struct fleetd *fleetd = poller->fleetd;
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
  if (log_writer_submit (&fleetd->writer, record, fleetd->settings->name, RECORD_WAIT_MS,
                         platform_poller_usage_written, poller) < 0)
    poller->usage_reread = true;
}

/* Handles a response with usage reports. */
static void
platform_poller_usage_done (void *ctx, int result, const struct platform_usage *usage)
{
  struct platform_poller *poller = ctx;
  struct fleetd *fleetd = poller->fleetd;

  clock_update (&fleetd->clock);
  poller->usage_pending = false;
  if (result < 0 || !executor_driver_holds_claim (&fleetd->executor_driver))
    return;
  poller->usage_since = usage->next;
  for (size_t i = 0; i < usage->n_reports; i++)
    platform_poller_submit_usage (poller, usage->reports[i]);
}

/* Submits the lines of an invoice. If it could not be read, it is requested again. */
static void
platform_poller_invoice_done (void *ctx, int result, const struct platform_invoice *invoice)
{
  struct platform_poller *poller = ctx;
  struct fleetd *fleetd = poller->fleetd;

  clock_update (&fleetd->clock);
  if (result < 0)
    {
      poller->requested_month[0] = '\0';
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
      log_writer_submit (&fleetd->writer, record, fleetd->settings->name, RECORD_WAIT_MS, NULL,
                         NULL);
    }
}

/* The oldest month with usage and without invoice, and the newest month with usage; empty if there
 * is none. invoiced is not used. */
struct invoice_month
{
  char month[8];
  bool invoiced;
  char newest[8];
};

/* Updates both months with one month's usage. */
static void
invoice_month_visit (const struct usage_month *usage, void *ctx)
{
  struct invoice_month *found = ctx;

  if (strcmp (usage->month, found->newest) > 0)
    g_strlcpy (found->newest, usage->month, sizeof found->newest);
  if (!usage->invoiced && usage->host_ms > 0 &&
      (found->month[0] == '\0' || strcmp (usage->month, found->month) < 0))
    g_strlcpy (found->month, usage->month, sizeof found->month);
}

/* Requests the invoice of the oldest month that is over and has none. */
static void
platform_poller_request_invoice (struct platform_poller *poller)
{
  struct fleetd *fleetd = poller->fleetd;
  struct invoice_month found = { 0 };

  fleet_visit_usage (fleetd->fleet, NULL, invoice_month_visit, &found);
  if (found.month[0] == '\0' || strcmp (found.month, found.newest) >= 0 ||
      strcmp (found.month, poller->requested_month) == 0)
    return;
  g_strlcpy (poller->requested_month, found.month, sizeof poller->requested_month);
  fleetd->platform->invoice (fleetd->platform->self, found.month, platform_poller_invoice_done,
                             poller);
}

/* Reads usage reports and invoices periodically while this fleetd holds the claim. If some reports
 * did not reach the log, all are read again; those that the state already has are skipped. */
static void
platform_poller_usage_due (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct platform_poller *poller = timer->data;
  struct fleetd *fleetd = poller->fleetd;

  (void) loop;
  (void) events;
  clock_update (&fleetd->clock);
  fleetd_set_timer (fleetd, timer, fleetd->settings->usage_period_ms);
  if (!fleetd_is_ready (fleetd) || fleetd->stopping || poller->usage_pending)
    return;
  if (!executor_driver_holds_claim (&fleetd->executor_driver))
    {
      poller->usage_since = 0;
      return;
    }
  if (poller->usage_reread)
    poller->usage_since = 0;
  poller->usage_reread = false;
  poller->usage_pending = true;
  fleetd->platform->usage (fleetd->platform->self, poller->usage_since, platform_poller_usage_done,
                           poller);
  platform_poller_request_invoice (poller);
}

void
platform_poller_init (struct platform_poller *poller, struct fleetd *fleetd)
{
  poller->fleetd = fleetd;
  poller->hosts = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, listed_host_free);
  ev_init (&poller->hosts_timer, platform_poller_hosts_due);
  poller->hosts_timer.data = poller;
  ev_init (&poller->usage_timer, platform_poller_usage_due);
  poller->usage_timer.data = poller;
  fleetd_set_timer (fleetd, &poller->hosts_timer, 0);
  fleetd_set_timer (fleetd, &poller->usage_timer, fleetd->settings->usage_period_ms);
}

void
platform_poller_finish (struct platform_poller *poller)
{
  ev_timer_stop (poller->fleetd->loop, &poller->hosts_timer);
  ev_timer_stop (poller->fleetd->loop, &poller->usage_timer);
  g_hash_table_unref (poller->hosts);
}
