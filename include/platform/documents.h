#ifndef SESAMEPICK_PLATFORM_DOCUMENTS_H
#define SESAMEPICK_PLATFORM_DOCUMENTS_H

#include <jansson.h>

#include "lib/jobs/host.h"
#include "lib/jobs/queue_table.h"
#include "lib/jobs/scheduler.h"

/* The platform's JSON documents, decoded into the product's types. A document that is not as
 * published gives NULL or a negative error number, with a line in the log where it came from
 * another writer. */

/* What a decoded document points to lives in its tree. */
struct decoded_endpoint
{
  json_t *tree;
  const char **labels;
  struct endpoint_entry entry;
};

/* Gives 0, or -EBADMSG for an entry that names no endpoint to use. */
int decode_endpoint (const char *id, const void *data, size_t len,
                     struct decoded_endpoint *decoded);
void decoded_endpoint_clear (struct decoded_endpoint *decoded);

/* Gives NULL for a configuration that can't be read. */
struct queue_table *decode_config (const void *data, size_t len);

struct decoded_wave
{
  json_t *tree;
  const char **hosts;
  struct wave_order order;
};

int decode_wave (const void *data, size_t len, struct decoded_wave *decoded);
void decoded_wave_clear (struct decoded_wave *decoded);
/* Value of a wave's status record; free with free(). */
char *encode_wave_status (bool completed);

/* One page of the machine list. */
struct decoded_hosts
{
  json_t *tree;
  GArray *entries;
  GPtrArray *labels;
  const char *next_page;
};

int decode_hosts (const void *data, size_t len, struct decoded_hosts *decoded);
void decoded_hosts_clear (struct decoded_hosts *decoded);

/* An endpoint's answer to a hold. */
struct decoded_report
{
  json_t *tree;
  struct endpoint_run *runs;
  struct endpoint_end *ends;
  struct endpoint_report report;
};

int decode_report (const void *data, size_t len, struct decoded_report *decoded);
void decoded_report_clear (struct decoded_report *decoded);

#endif
