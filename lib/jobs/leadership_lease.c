#include "lib/jobs/leadership_lease.h"

#include <glib.h>

int64_t
leadership_leases_end_ms (int64_t record_sent_ms, int64_t confirmed_ms, int64_t lease_ms)
{
  return MAX (record_sent_ms + LEADERSHIP_VALID_MS, confirmed_ms) + lease_ms;
}

/* A process that has read no record doesn't know what its host's earlier process has claimed and
 * done as a leader. */
bool
leadership_may_confirm (uint64_t epoch, uint64_t read_epoch, uint64_t claimed_epoch,
                        uint64_t heard_epoch)
{
  return read_epoch > 0 && epoch >= MAX (read_epoch, MAX (claimed_epoch, heard_epoch));
}

/* A record is read after it was sent, so its leader's time ends no later than counted from now. A
 * leader that resigns grants no lease that lasts longer than one granted with its resignation. */
void
former_leaders_record_read (struct former_leaders *former, uint64_t epoch, bool resigned,
                            bool earlier_ended, int64_t now_ms)
{
  if (epoch < former->epoch)
    return;
  if (epoch > former->epoch)
    former->earlier_until_ms = MAX (former->earlier_until_ms, former->current_until_ms);
  if (earlier_ended)
    former->earlier_until_ms = 0;
  former->epoch = epoch;
  former->earlier_ended = earlier_ended;
  former->current_until_ms = now_ms + (resigned ? 0 : LEADERSHIP_VALID_MS);
}

/* Records of earlier leaders may have been skipped; all of them were sent before now. */
void
former_leaders_loaded (struct former_leaders *former, int64_t now_ms)
{
  if (former->epoch > 0 && !former->earlier_ended)
    former->earlier_until_ms = now_ms + LEADERSHIP_VALID_MS;
}

void
former_leaders_process_ended (struct former_leaders *former)
{
  former->current_until_ms = 0;
}

int64_t
former_leaders_until_ms (const struct former_leaders *former, uint64_t epoch)
{
  if (epoch <= former->epoch)
    return former->earlier_until_ms;
  return MAX (former->earlier_until_ms, former->current_until_ms);
}
