#ifndef SESAMEPICK_LIB_JOBS_HOST_COMMAND_GUARD_H
#define SESAMEPICK_LIB_JOBS_HOST_COMMAND_GUARD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "job.pb-c.h"

/* Keeps the host commands of two leaders apart on a platform that doesn't check their fencing
 * tokens. A leader records in the journal which hosts it is about to command, and sends the
 * commands once the record is durable. A new leader's claim keeps later records of the former one
 * out of the journal, so the former can only command hosts that the journal names. The new leader
 * leaves those alone until their commands have certainly ended, and may command all others at once.
 * All times are monotonic ms of one host's own clock. */

enum
{
  /* A command is only sent this long after its record was first sent. */
  HOST_COMMAND_SEND_WINDOW_MS = 1500,
  /* Timeout of a host command, from sending it to the response, and the same where tokens are
   * checked. A platform is taken to carry a command out within it or not at all, also if the
   * connection closes before. */
  HOST_COMMAND_TIMEOUT_MS = 1000,
  HOST_COMMAND_TIMEOUT_FENCED_MS = 1500,
};

struct host_command_guard
{
  /* Hosts that the journal's newest record names, each with the time until which a command for it
   * may be in progress. */
  GHashTable *recorded;
  /* The same as of the beginning of this host's leadership: commands of former leaders. */
  GHashTable *inherited;
  /* Set of the hosts whose commands of this leadership have no result yet. */
  GHashTable *own;
  /* Hosts with a command of this leadership whose result is unknown, each with the time until which
   * the platform may still carry it out. */
  GHashTable *unknown;
  /* Commands have ended since the last record. */
  bool changed;
};

void host_command_guard_init (struct host_command_guard *guard);
void host_command_guard_finish (struct host_command_guard *guard);
/* Handles a record read from the journal, which replaces the one before. */
void host_command_guard_observe (struct host_command_guard *guard, const Sp__HostCommands *commands,
                                 int64_t now_ms);
/* Begins a leadership of this host, which has read the journal up to its claim. */
void host_command_guard_begin (struct host_command_guard *guard, int64_t now_ms);
/* Returns until when a former leader's command for a host may be in progress; 0 if none is. */
int64_t host_command_guard_busy_until_ms (const struct host_command_guard *guard, const char *host);
/* A command for the host is to be recorded and sent. */
void host_command_guard_add (struct host_command_guard *guard, const char *host);
/* The host's command has certainly ended: it was carried out, rejected or not sent. */
void host_command_guard_remove (struct host_command_guard *guard, const char *host);
/* The caller of the host's command has no result, or one that doesn't say what was done. */
void host_command_guard_set_unknown (struct host_command_guard *guard, const char *host,
                                     int64_t now_ms);
/* Returns whether commands have certainly ended since the last record. */
bool host_command_guard_changed (struct host_command_guard *guard, int64_t now_ms);
/* Returns the hosts that a record must name: all whose commands may be in progress.
 * NULL-terminated; free with g_strfreev. */
char **host_command_guard_hosts (struct host_command_guard *guard, int64_t now_ms);
/* Returns whether a command may still be sent whose record was first sent at recorded_ms. */
bool host_command_may_be_sent (int64_t recorded_ms, int64_t now_ms);

#endif
