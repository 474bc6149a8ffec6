#ifndef SESAMEPICK_PLATFORM_DOCUMENTS_H
#define SESAMEPICK_PLATFORM_DOCUMENTS_H

#include <jansson.h>

#include "lib/jobs/host.h"
#include "lib/jobs/queue_table.h"
#include "lib/jobs/scheduler.h"

/* Decoders of the platform's JSON documents. A malformed document gives NULL or -EBADMSG;
 * decode_endpoint also logs it. */

/* A decoded registry entry. The strings of this and the other decoded documents belong to the JSON
 * tree: they are valid until the document is cleared. */
struct decoded_endpoint
{
  json_t *tree;
  const char **labels;
  struct endpoint_entry entry;
};

/* Returns 0, or -EBADMSG for a malformed entry, which needs no clearing. */
int decode_endpoint (const char *id, const void *data, size_t len,
                     struct decoded_endpoint *decoded);
void decoded_endpoint_clear (struct decoded_endpoint *decoded);

/* Decodes the operators' configuration. Digests of keys are computed with the salt. Faulty entries
 * of workspaces are left out and logged by their place. Returns NULL if the document is malformed,
 * or if none of its workspaces can be used. */
struct queue_table *decode_config (const void *data, size_t len, const struct workspace_salt *salt);

/* An operator's request for a wave of maintenance. */
struct decoded_wave
{
  json_t *tree;
  const char **hosts;
  struct wave_request wave;
};

int decode_wave (const void *data, size_t len, struct decoded_wave *decoded);
void decoded_wave_clear (struct decoded_wave *decoded);
/* Returns the value of a wave's status record; free with free(). */
char *encode_wave_status (bool completed);

/* One page of the machine list: entries of struct host_entry (hosts without an id or a pool are
 * left out), the label arrays that they refer to, and the token of the next page, NULL for the
 * last. */
struct decoded_hosts
{
  json_t *tree;
  GArray *entries;
  GPtrArray *labels;
  const char *next_page;
};

int decode_hosts (const void *data, size_t len, struct decoded_hosts *decoded);
void decoded_hosts_clear (struct decoded_hosts *decoded);

/* An endpoint's response to a heartbeat. */
struct decoded_report
{
  json_t *tree;
  struct endpoint_attempt *attempts;
  struct endpoint_completion *completions;
  struct endpoint_report report;
};

int decode_report (const void *data, size_t len, struct decoded_report *decoded);
void decoded_report_clear (struct decoded_report *decoded);

#endif
