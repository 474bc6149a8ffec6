#ifndef SESAMEPICK_STANDIN_PLATFORM_H
#define SESAMEPICK_STANDIN_PLATFORM_H

#include <ev.h>
#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "common/clock.h"
#include "common/http_server.h"
#include "settings.pb-c.h"

/* Simulates the platform that fleetd runs on for tests, all in memory: log, host list, host
 * operations, task leases, usage reports and invoices. Tests inject faults over HTTP. */

enum log_mode
{
  LOG_UP,
  /* Answers every request with 503. */
  LOG_DOWN,
  /* Never answers. */
  LOG_UNRESPONSIVE,
};

struct faults
{
  enum log_mode log;
  /* Delay of the log's answers. */
  int64_t log_slow_ms;
  /* Share of the answers to appends and operations that are withheld after taking effect. */
  uint32_t lose_permille;
  /* Number of such answers, from the next one on, that are withheld in any case. */
  uint32_t lose_next;
  /* Share of the log's pages that repeat entries before the requested offset. */
  uint32_t duplicate_permille;
  uint32_t operations_fail_permille;
  int64_t host_list_lag_ms;
  /* Holds back all answers, except to control requests and health checks, until it is cleared. */
  bool frozen;
  /* All tasks on this host fail; NULL for none. */
  char *failing_host;
};

/* A request that has not been answered: a long poll, a delayed answer, or one whose answer is
 * withheld. */
struct open_request
{
  LIST_ENTRY (open_request) link;
  struct platform *platform;
  struct http_request *request;
  ev_timer timer;
  /* Set for a long poll of the log, which reads up to max entries at offset from. */
  bool is_long_poll;
  uint64_t from;
  uint32_t max;
  int64_t end_ms;
  /* The delayed answer. */
  int status;
  const char *content_type;
  GBytes *body;
};

LIST_HEAD (open_request_list, open_request);

struct log_entry
{
  uint64_t offset;
  GBytes *batch;
};

struct standin_host
{
  LIST_ENTRY (standin_host) link;
  char *name;
  char *host_class;
  /* Empty while the host is between pools. */
  char *pool;
  char *previous_pool;
  char *rack;
  char *data_centre;
  char *region;
  char *address;
  uint16_t port;
  /* One of "live", "leaving" and "gone". */
  const char *presence;
  bool drained;
  uint32_t reboots;
  /* The highest sequence number of an accepted operation. */
  uint64_t sequence;
  /* From task name to struct standin_task. */
  GHashTable *tasks;
};

LIST_HEAD (standin_host_list, standin_host);

/* A batch task on a host under its newest lease. */
struct standin_task
{
  uint64_t term;
  int64_t started_ms;
  int64_t run_ms;
  int64_t lease_end_ms;
  bool stopped;
};

/* One change of the host list, in order of versions. */
struct host_change
{
  uint64_t version;
  int64_t time_ms;
  json_t *json;
};

struct operation
{
  char *key;
  char *kind;
  char *to_pool;
  struct standin_host *host;
  int64_t due_ms;
  /* Drawn when the operation starts. */
  bool will_fail;
  bool finished;
};

struct usage_report
{
  uint64_t sequence;
  int64_t visible_ms;
  json_t *json;
};

struct platform
{
  struct ev_loop *loop;
  struct clock clock;
  struct http_server *server;
  const Sp__PlatformSettings *settings;
  struct faults faults;
  GRand *random;
  struct open_request_list open_requests;
  /* struct log_entry in order of offsets; first_offset is the offset of the first one. */
  GArray *entries;
  uint64_t first_offset;
  int64_t append_second;
  uint32_t appends_in_second;
  struct standin_host_list hosts;
  GArray *changes;
  /* From key to struct operation. */
  GHashTable *operations;
  ev_timer operations_timer;
  GQueue usage;
  /* The usage clock starts at the wall-clock time of the start; usage_last_ms, the end of the last
   * report, is on it. usage_start_ms is the start on the monotonic clock. */
  uint64_t usage_sequence;
  int64_t usage_start_wall_ms;
  int64_t usage_start_ms;
  int64_t usage_last_ms;
  /* From "month/pool/class" to milliseconds of use. */
  GHashTable *used_ms;
  ev_timer usage_timer;
  /* Events for tests, in order of time. */
  json_t *journal;
};

/* Answers. */
void platform_answer (struct platform *platform, struct http_request *request, int status,
                      const char *content_type, GBytes *body, int64_t delay_ms);
void platform_answer_json (struct platform *platform, struct http_request *request, int status,
                           json_t *json, int64_t delay_ms);
void platform_withhold_answer (struct platform *platform, struct http_request *request);
bool platform_loses_answer (struct platform *platform);
void open_request_destroy (struct open_request *open);
struct open_request *open_request_create (struct platform *platform, struct http_request *request);
uint64_t request_number (const struct http_request *request, const char *name, uint64_t fallback);
void platform_journal_add (struct platform *platform, json_t *event);

/* Log. */
void standin_log_init (struct platform *platform);
void standin_log_append (struct platform *platform, struct http_request *request);
void standin_log_read (struct platform *platform, struct http_request *request);
void standin_log_trim (struct platform *platform, uint64_t keep);
void standin_log_finish (struct platform *platform);

/* Hosts. */
bool standin_hosts_init (struct platform *platform);
void standin_hosts_finish (struct platform *platform);
bool standin_host_add (struct platform *platform, const char *text);
struct standin_host *standin_host_find (struct platform *platform, const char *name);
void standin_host_changed (struct platform *platform, struct standin_host *host);
void standin_hosts_list (struct platform *platform, struct http_request *request);
void standin_operations_tick (struct platform *platform);
/* Handles /hosts/NAME/operations and /hosts/NAME/tasks; rest is the path after /hosts/. */
void standin_host_request (struct platform *platform, struct http_request *request,
                           const char *rest);

/* Handles a POST to /hosts/NAME/tasks. */
void standin_task_post (struct platform *platform, struct http_request *request,
                        struct standin_host *host, const json_t *json);

/* Usage. */
void standin_usage_init (struct platform *platform);
void standin_usage_finish (struct platform *platform);
void standin_usage_list (struct platform *platform, struct http_request *request);
void standin_invoice (struct platform *platform, struct http_request *request);

/* Faults. */
void standin_faults_set (struct platform *platform, struct http_request *request);
void standin_journal (struct platform *platform, struct http_request *request);

#endif
