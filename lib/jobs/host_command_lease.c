#include "lib/jobs/host_command_lease.h"

enum
{
  /* The clocks of two hosts may differ by 2% over the lease and the timeout, and a call ends some
   * ms after its timeout. */
  CLOCK_MARGIN_MS = 200,
};

int64_t
host_command_timeout_ms (bool tokens_checked)
{
  return tokens_checked ? HOST_COMMAND_TIMEOUT_FENCED_MS : HOST_COMMAND_TIMEOUT_MS;
}

/* A leader that resigned may have led too briefly to wait for its own predecessor, so the wait for
 * that one still counts. */
void
host_command_lease_observe (struct host_command_lease *lease, uint64_t epoch, bool resigned,
                            int64_t now_ms)
{
  if (epoch != lease->former_epoch)
    {
      lease->predecessor_seen_ms = lease->former_seen_ms;
      lease->former_epoch = epoch;
    }
  lease->former_seen_ms = resigned ? lease->predecessor_seen_ms : now_ms;
}

/* The former leader counts its lease from before its last record was sent, this host from when it
 * read that record, which is later. */
bool
host_command_lease_is_held (const struct host_command_lease *lease, int64_t now_ms)
{
  int64_t lease_ms = lease->tokens_checked ? HOST_COMMAND_LEASE_FENCED_MS : HOST_COMMAND_LEASE_MS;

  if (now_ms - lease->renewed_ms >= lease_ms)
    return false;
  if (lease->tokens_checked || lease->former_seen_ms == 0)
    return true;
  return now_ms - lease->former_seen_ms >=
         HOST_COMMAND_LEASE_MS + HOST_COMMAND_TIMEOUT_MS + CLOCK_MARGIN_MS;
}
