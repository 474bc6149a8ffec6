#ifndef SESAMEPICK_TESTS_SCRIPTED_TOPIC_H
#define SESAMEPICK_TESTS_SCRIPTED_TOPIC_H

#include <ev.h>
#include <glib.h>

#include "common/http_server.h"

/* A store with one keyed topic on the test's own loop. A test decides how much a response holds,
 * which reads fail, and which responses are withheld and arrive after newer ones. */

struct scripted_topic
{
  struct ev_loop *loop;
  struct http_server *server;
  /* The records, as struct scripted_record; the position is the offset. */
  GPtrArray *records;
  /* Offset of the oldest record that reads return. */
  int64_t first;
  /* Most records in a response, and most keys in a page. */
  int64_t records_max;
  unsigned page_max;
  /* Withhold the responses to reads that wait for records, and to those that don't. They hold what
   * was there when the request arrived. */
  bool hold_reads;
  bool hold_extra_reads;
  /* Responses to reads that don't wait are sent after this time. */
  int64_t extra_delay_ms;
  /* Number of the next pages and reads without waiting that get 503. */
  unsigned fail_pages;
  unsigned fail_extra_reads;
  /* Number of the next pages that claim to have more, but hold nothing. */
  unsigned empty_pages;
  /* Responses with records to reads that ask for more than this never arrive; 0 for no limit. Reads
   * that ask for less than the second get no record. */
  unsigned kb_in_time;
  unsigned kb_of_a_record;
  /* Reads return no record although there are some. */
  bool withhold_records;
  /* A read of expired records returns the oldest that there are instead of 410. */
  bool skip_expired;
  /* Number of records that each read without waiting adds after its response. */
  unsigned grow;
  /* What the next first page says of the end of the log; -1 for what it is. */
  int64_t claimed_end;
  /* Called after each page was sent, unless NULL. */
  void (*page_sent) (struct scripted_topic *store, unsigned number);
  unsigned n_pages;
  unsigned n_reads;
  unsigned n_extra_reads;
  /* Requests without a response, as struct held_read. */
  GPtrArray *held;
};

void scripted_topic_start (struct scripted_topic *store, struct ev_loop *loop, uint16_t port);
void scripted_topic_stop (struct scripted_topic *store);
/* Appends a record; an empty value deletes the key. */
void scripted_topic_append (struct scripted_topic *store, const char *key, const char *value);
/* Appends n records with keys of their own. */
void scripted_topic_append_many (struct scripted_topic *store, unsigned n);
/* Responds to the reads that were withheld. */
void scripted_topic_release (struct scripted_topic *store, bool extra);
/* Returns the newest value of a key; empty if it is deleted or was never written. */
const char *scripted_topic_value (const struct scripted_topic *store, const char *key);

#endif
