#include "scripted_topic.h"

#include <jansson.h>
#include <limits.h>
#include <stdlib.h>
#include <string.h>

#include "suite.h"

enum
{
  MS_PER_S = 1000,
  HTTP_OK = 200,
  HTTP_GONE = 410,
  HTTP_UNAVAILABLE = 503,
};

struct scripted_record
{
  char *key;
  char *value;
};

/* A read whose response is withheld. */
struct held_read
{
  struct scripted_topic *store;
  struct http_request *request;
  int64_t from;
  int64_t end;
  bool extra;
  ev_timer timer;
};

static void
record_free (gpointer data)
{
  struct scripted_record *record = data;

  g_free (record->key);
  g_free (record->value);
  g_free (record);
}

static void
held_read_free (gpointer data)
{
  struct held_read *held = data;

  ev_timer_stop (held->store->loop, &held->timer);
  g_free (held);
}

const char *
scripted_topic_value (const struct scripted_topic *store, const char *key)
{
  for (guint i = store->records->len; i > 0; i--)
    {
      const struct scripted_record *record = g_ptr_array_index (store->records, i - 1);

      if (strcmp (record->key, key) == 0)
        return record->value;
    }
  return "";
}

/* Appends a number of size bytes in big-endian order. */
static void
append_number (GByteArray *body, uint64_t number, unsigned size)
{
  for (unsigned i = 0; i < size; i++)
    {
      guint8 byte = (guint8) (number >> 8 * (size - 1 - i));

      g_byte_array_append (body, &byte, 1);
    }
}

/* Answers a read with records from an offset on, as if the log ended at end. */
static void
read_answer (struct scripted_topic *store, struct http_request *request, int64_t from, int64_t end)
{
  g_autoptr (GByteArray) body = g_byte_array_new ();
  struct http_response response = { .status = HTTP_OK };
  int64_t start = store->skip_expired ? MAX (from, store->first) : from;

  if (start < store->first)
    {
      http_request_respond_text (request, HTTP_GONE, "application/json", "{}");
      return;
    }
  append_number (body, (uint64_t) end, 8);
  append_number (body, (uint64_t) store->first, 8);
  for (int64_t i = start; i < MIN (end, start + store->records_max) && !store->withhold_records;
       i++)
    {
      const struct scripted_record *record = g_ptr_array_index (store->records, i);
      size_t key_len = strlen (record->key);
      size_t len = strlen (record->value);

      append_number (body, 1 + key_len + len, 4);
      append_number (body, key_len, 1);
      g_byte_array_append (body, (const guint8 *) record->key, (guint) key_len);
      g_byte_array_append (body, (const guint8 *) record->value, (guint) len);
    }
  response.body = body->data;
  response.body_len = body->len;
  http_request_respond (request, &response);
}

/* Answers a read with no record. */
static void
read_answer_empty (struct scripted_topic *store, struct http_request *request)
{
  bool withhold_records = store->withhold_records;

  store->withhold_records = true;
  read_answer (store, request, store->first, store->records->len);
  store->withhold_records = withhold_records;
}

/* Answers a withheld read. */
static void
held_read_answer (struct held_read *held)
{
  struct scripted_topic *store = held->store;
  struct http_request *request = held->request;
  int64_t from = held->from;
  int64_t end = held->end;

  g_ptr_array_remove (store->held, held);
  http_request_set_data (request, NULL);
  read_answer (store, request, from, end);
}

static void
held_read_on_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void) loop;
  (void) events;
  held_read_answer (timer->data);
}

/* Withholds the response to a read; with a delay it is sent after that time. */
static void
read_hold (struct scripted_topic *store, struct http_request *request, int64_t from, bool extra,
           int64_t delay_ms)
{
  struct held_read *held = g_new0 (struct held_read, 1);

  *held = (struct held_read){
    .store = store, .request = request, .from = from, .end = store->records->len, .extra = extra
  };
  ev_timer_init (&held->timer, held_read_on_timer, (double) delay_ms / MS_PER_S, 0.0);
  held->timer.data = held;
  if (delay_ms > 0)
    ev_timer_start (store->loop, &held->timer);
  http_request_set_data (request, held);
  g_ptr_array_add (store->held, held);
}

/* Handles a read that doesn't wait for records. */
static void
handle_extra_read (struct scripted_topic *store, struct http_request *request, int64_t from)
{
  store->n_extra_reads++;
  if (store->fail_extra_reads > 0)
    {
      store->fail_extra_reads--;
      http_request_respond_text (request, HTTP_UNAVAILABLE, "application/json", "{}");
    }
  else if (store->hold_extra_reads || store->extra_delay_ms > 0)
    read_hold (store, request, from, true, store->extra_delay_ms);
  else
    read_answer (store, request, from, store->records->len);
  scripted_topic_append_many (store, store->grow);
}

/* Handles a read that waits for records. */
static void
handle_read (struct scripted_topic *store, struct http_request *request, int64_t from)
{
  store->n_reads++;
  if (store->hold_reads || from == (int64_t) store->records->len)
    read_hold (store, request, from, false, 0);
  else
    read_answer (store, request, from, store->records->len);
}

/* Compares keys as strings. */
static int
key_compare (const void *left, const void *right)
{
  return strcmp (*(const char *const *) left, *(const char *const *) right);
}

/* Returns the sorted keys that have a value; free with g_ptr_array_unref. */
static GPtrArray *
store_keys (const struct scripted_topic *store)
{
  GPtrArray *keys = g_ptr_array_new ();

  for (guint i = 0; i < store->records->len; i++)
    {
      const struct scripted_record *record = g_ptr_array_index (store->records, i);

      if (scripted_topic_value (store, record->key)[0] != '\0' &&
          !g_ptr_array_find_with_equal_func (keys, record->key, g_str_equal, NULL))
        g_ptr_array_add (keys, record->key);
    }
  g_ptr_array_sort (keys, key_compare);
  return keys;
}

/* Returns the offset of the newest record of a key. */
static int64_t
newest_offset (const struct scripted_topic *store, const char *key)
{
  int64_t offset = store->records->len - 1;

  while (strcmp (((struct scripted_record *) g_ptr_array_index (store->records, offset))->key,
                 key) != 0)
    offset--;
  return offset;
}

/* Answers with a page of the newest records of the keys after a key. */
static void
page_answer (struct scripted_topic *store, struct http_request *request, const char *after)
{
  g_autoptr (GPtrArray) keys = store_keys (store);
  json_t *items = json_array ();
  bool empty = store->empty_pages > 0;
  bool more = empty;
  json_t *root;
  char *text;

  store->empty_pages -= empty;
  for (guint i = 0; i < keys->len && !empty; i++)
    {
      const char *key = g_ptr_array_index (keys, i);
      const char *value = scripted_topic_value (store, key);
      g_autofree char *encoded = g_base64_encode ((const guchar *) value, strlen (value));

      if (after && strcmp (key, after) <= 0)
        continue;
      more = json_array_size (items) == store->page_max;
      if (more)
        break;
      json_array_append_new (items, json_pack ("{s:s,s:s,s:I}", "key", key, "value", encoded,
                                               "offset", (json_int_t) newest_offset (store, key)));
    }
  root =
      json_pack ("{s:o,s:b,s:I}", "items", items, "has_more", more, "end",
                 (json_int_t) (store->claimed_end >= 0 ? store->claimed_end : store->records->len));
  store->claimed_end = -1;
  text = json_dumps (root, 0);
  http_request_respond_text (request, HTTP_OK, "application/json", text);
  free (text);
  json_decref (root);
}

/* Handles a read of a page of the newest records. */
static void
handle_page (struct scripted_topic *store, struct http_request *request)
{
  store->n_pages++;
  if (store->fail_pages > 0)
    {
      store->fail_pages--;
      http_request_respond_text (request, HTTP_UNAVAILABLE, "application/json", "{}");
    }
  else
    page_answer (store, request, http_request_query (request, "depends_on"));
  if (store->page_sent)
    store->page_sent (store, store->n_pages);
}

static void
handle_request (void *ctx, struct http_request *request)
{
  struct scripted_topic *store = ctx;
  const char *from = http_request_query (request, "from");
  unsigned max_kb = UINT_MAX;

  http_request_set_data (request, NULL);
  if (from)
    max_kb = (unsigned) atoi (http_request_query (request, "max_kb"));
  if (!from)
    handle_page (store, request);
  else if (max_kb < store->kb_of_a_record)
    read_answer_empty (store, request);
  else if (store->kb_in_time > 0 && max_kb > store->kb_in_time &&
           atoll (from) < (int64_t) store->records->len)
    read_hold (store, request, atoll (from), true, 0);
  else if (strcmp (http_request_query (request, "wait_ms"), "0") == 0)
    handle_extra_read (store, request, atoll (from));
  else
    handle_read (store, request, atoll (from));
}

/* Forgets a read whose caller no longer waits for the response. */
static void
handle_disconnect (void *ctx, struct http_request *request)
{
  struct scripted_topic *store = ctx;

  g_ptr_array_remove (store->held, http_request_data (request));
}

void
scripted_topic_append (struct scripted_topic *store, const char *key, const char *value)
{
  struct scripted_record *record = g_new (struct scripted_record, 1);

  *record = (struct scripted_record){ .key = g_strdup (key), .value = g_strdup (value) };
  g_ptr_array_add (store->records, record);
  for (guint i = 0; i < store->held->len && !store->hold_reads;)
    {
      struct held_read *held = g_ptr_array_index (store->held, i);

      if (held->extra)
        {
          i++;
          continue;
        }
      held->end = store->records->len;
      held_read_answer (held);
    }
}

void
scripted_topic_append_many (struct scripted_topic *store, unsigned n)
{
  for (unsigned i = 0; i < n; i++)
    {
      g_autofree char *key = g_strdup_printf ("k%05u", store->records->len);

      scripted_topic_append (store, key, key);
    }
}

void
scripted_topic_release (struct scripted_topic *store, bool extra)
{
  for (guint i = 0; i < store->held->len;)
    {
      struct held_read *held = g_ptr_array_index (store->held, i);

      if (held->extra == extra)
        held_read_answer (held);
      else
        i++;
    }
}

void
scripted_topic_start (struct scripted_topic *store, struct ev_loop *loop, uint16_t port)
{
  struct http_server_config config = {
    .address = "127.0.0.1",
    .port = port,
    .body_limit = 1,
    .connection_limit = 64,
    .handle = handle_request,
    .caller_disconnected = handle_disconnect,
    .ctx = store,
  };

  *store =
      (struct scripted_topic){ .loop = loop, .records_max = INT32_MAX, .page_max = UINT32_MAX };
  store->claimed_end = -1;
  store->records = g_ptr_array_new_with_free_func (record_free);
  store->held = g_ptr_array_new_with_free_func (held_read_free);
  store->server = http_server_create (loop, &config);
  SUITE_REQUIRE (store->server != NULL);
}

void
scripted_topic_stop (struct scripted_topic *store)
{
  http_server_destroy (store->server);
  g_ptr_array_unref (store->held);
  g_ptr_array_unref (store->records);
}
