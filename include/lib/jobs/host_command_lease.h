#ifndef SESAMEPICK_LIB_JOBS_HOST_COMMAND_LEASE_H
#define SESAMEPICK_LIB_JOBS_HOST_COMMAND_LEASE_H

#include <stdbool.h>
#include <stdint.h>

/* Lease under which a leader sends commands that move or maintain hosts. Some platforms accept
 * these commands without checking their fencing tokens. There only time keeps two leaders apart: a
 * leader sends commands until its lease ends, and its successor waits until every command of the
 * former leader has certainly been carried out or dropped. All times are monotonic ms of one host's
 * own clock. */

enum
{
  /* Time for which a leader may send host commands after it sent its last durable record, where
   * tokens are checked and where they aren't. The shorter one covers two heartbeats. */
  HOST_COMMAND_LEASE_FENCED_MS = 1500,
  HOST_COMMAND_LEASE_MS = 900,
  /* Timeout of one host command, from sending it to the response, in the same two cases. */
  HOST_COMMAND_TIMEOUT_FENCED_MS = 1500,
  HOST_COMMAND_TIMEOUT_MS = 1000,
};

struct host_command_lease
{
  /* The platform rejects a command whose token is lower than one it has seen. */
  bool tokens_checked;
  /* When this leader's last durable record (claim or heartbeat) was first sent. */
  int64_t renewed_ms;
  /* When this host last read a record of a leader that didn't resign; 0 if there was none. A leader
   * resigns after its last host command has ended. */
  int64_t former_seen_ms;
  /* The same for the leaders before the one whose record was read last, and that one's epoch. */
  int64_t predecessor_seen_ms;
  uint64_t former_epoch;
};

/* Handles a record of another leader, or of an earlier leadership of this host. */
void host_command_lease_observe (struct host_command_lease *lease, uint64_t epoch, bool resigned,
                                 int64_t now_ms);

/* Returns whether the leader may send a host command now. */
bool host_command_lease_is_held (const struct host_command_lease *lease, int64_t now_ms);
/* Returns how long a host command may take. */
int64_t host_command_timeout_ms (bool tokens_checked);

#endif
