#ifndef SESAMEPICK_FLEETD_PLATFORM_H
#define SESAMEPICK_FLEETD_PLATFORM_H

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "record.pb-c.h"

/* The interface between fleetd and the platform. For a different platform, fill in this struct with
 * other functions. Each done callback is called exactly once, asynchronously from the event loop;
 * its arguments are valid only until it returns.
 * Results are 0 or a negative errno:
 *   -EAGAIN      certainly without effect; may be retried later
 *   -ETIMEDOUT   no response; the call may have taken effect
 *   -EPERM       permanently rejected, for example because a precondition does not hold
 *   -EINPROGRESS the operation is still running
 *   -EIO         the operation failed; it may be retried
 *   -ENOENT      the requested object does not exist yet */

struct platform_operation_request
{
  /* "drain", "reboot", "leave" or "join". */
  const char *operation;
  const char *host;
  /* Idempotency key: a repeated request with the same key has no further effect. */
  const char *key;
  /* The platform rejects the operation if the host is in another pool. */
  const char *expected_pool;
  const char *to_pool;
  /* The platform rejects a request whose sequence is lower than the highest one it has accepted for
   * the host. */
  uint64_t sequence;
};

struct platform_hosts
{
  /* Version of the list, for the next call of hosts. */
  uint64_t version;
  size_t n_hosts;
  Sp__HostSeen **hosts;
};

struct platform_usage
{
  /* Sequence number to pass to the next call of usage. */
  uint64_t next;
  size_t n_reports;
  Sp__UsageReport **reports;
};

struct platform_invoice
{
  size_t n_lines;
  Sp__InvoiceLine **lines;
};

enum platform_task_state
{
  PLATFORM_TASK_RUNNING,
  PLATFORM_TASK_FINISHED,
  PLATFORM_TASK_FAILED,
  PLATFORM_TASK_STOPPED,
};

/* Request for a batch task that runs on a host under a lease. The platform stops the task itself
 * when the lease expires. */
struct platform_task_request
{
  const char *host;
  const char *task;
  /* The platform rejects a request whose term is lower than the highest one it has accepted for the
   * task. */
  uint64_t term;
  uint64_t run_ms;
  uint64_t lease_ms;
  /* False: start the task, or extend its lease if it already runs under this term. True: stop
   * it. */
  bool stop;
};

struct platform_task
{
  enum platform_task_state state;
  uint32_t progress_permille;
};

/* Number of calls and bytes of paths and bodies since the process started. */
struct platform_stats
{
  uint64_t calls;
  uint64_t errors;
  uint64_t bytes_sent;
  uint64_t bytes_received;
};

struct platform
{
  void *self;
  /* Appends a serialized batch of records to the log; offset is that of the new entry. */
  void (*append) (void *self, const void *batch, size_t len,
                  void (*done) (void *ctx, int result, uint64_t offset), void *ctx);
  /* Reads up to max entries of the log from an offset on. If there is none, waits up to wait_ms. */
  void (*read) (void *self, uint64_t from, uint32_t max, uint32_t wait_ms,
                void (*done) (void *ctx, int result, const Sp__LogPage *page), void *ctx);
  /* Reads the changes of the host list since a version; 0 reads the whole list. */
  void (*hosts) (void *self, uint64_t since,
                 void (*done) (void *ctx, int result, const struct platform_hosts *hosts),
                 void *ctx);
  /* Starts an operation on a host, or queries it if its key is known. */
  void (*operate) (void *self, const struct platform_operation_request *request,
                   void (*done) (void *ctx, int result), void *ctx);
  /* Reads the usage reports after a sequence number; 0 reads all. */
  void (*usage) (void *self, uint64_t since,
                 void (*done) (void *ctx, int result, const struct platform_usage *usage),
                 void *ctx);
  /* Reads the invoice of a month, YYYY-MM. */
  void (*invoice) (void *self, const char *month,
                   void (*done) (void *ctx, int result, const struct platform_invoice *invoice),
                   void *ctx);
  /* Starts or stops a batch task, or extends its lease. */
  void (*task) (void *self, const struct platform_task_request *request,
                void (*done) (void *ctx, int result, const struct platform_task *task), void *ctx);
  void (*get_stats) (void *self, struct platform_stats *stats);
  /* Cancels all pending calls without calling their done callbacks, and frees the platform. */
  void (*destroy) (void *self);
};

/* Creates a platform that is reached by HTTP at an IP address and port. timeout_ms limits the
 * duration of one call. */
struct platform *platform_http_create (struct ev_loop *loop, const char *ip, uint16_t port,
                                       long timeout_ms);
void platform_destroy (struct platform *platform);

#endif
