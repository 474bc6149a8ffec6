#include <string.h>

#include "cluster.h"
#include "common/http_json.h"

/* The simulated metadata store: topics of keyed records, with one partition each. */

enum
{
  LENGTH_BYTES = 4,
  PAGE_ITEMS_MAX = 500,
  PRODUCER_OFFSETS_MAX = 5,
  /* Largest response to a read that names no limit. */
  READ_KB_MAX = 1024,
  BYTES_PER_KB = 1024,
};

struct record
{
  char *key;
  GBytes *value;
};

/* The last appends of a producer, by which the store detects repeated and fenced appends. */
struct producer
{
  uint64_t epoch;
  uint64_t sequence;
  /* Offsets of its last appends, oldest first. */
  int64_t offsets[PRODUCER_OFFSETS_MAX];
  unsigned n_offsets;
};

struct topic
{
  GPtrArray *records;
  /* From key to the index of its newest record, plus one. A deleted key has no entry. */
  GHashTable *newest;
  GHashTable *producers;
};

/* A read that waits for a record. */
struct pending_read
{
  LIST_ENTRY (pending_read) link;
  struct http_request *request;
  /* NULL on the ports that all hosts use. */
  const struct store_port *port;
  struct topic *topic;
  int64_t from;
  int64_t end_ms;
};

/* An append that the store carries out after it closed the connection. */
struct late_append
{
  LIST_ENTRY (late_append) link;
  struct topic *topic;
  char *producer;
  GByteArray *body;
  struct append_call call;
  int64_t due_ms;
};

static void
record_destroy (gpointer data)
{
  struct record *record = data;

  g_free (record->key);
  g_bytes_unref (record->value);
  g_free (record);
}

static void
topic_destroy (gpointer data)
{
  struct topic *topic = data;

  g_ptr_array_free (topic->records, TRUE);
  g_hash_table_destroy (topic->newest);
  g_hash_table_destroy (topic->producers);
  g_free (topic);
}

void
cluster_store_init (struct cluster *cluster)
{
  cluster->topics = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, topic_destroy);
  LIST_INIT (&cluster->pending_reads);
  LIST_INIT (&cluster->late_appends);
  store_faults_init (cluster);
}

static void
late_append_destroy (struct late_append *late)
{
  LIST_REMOVE (late, link);
  g_free (late->producer);
  g_byte_array_unref (late->body);
  g_free (late);
}

void
cluster_store_finish (struct cluster *cluster)
{
  while (!LIST_EMPTY (&cluster->pending_reads))
    {
      struct pending_read *read = LIST_FIRST (&cluster->pending_reads);

      LIST_REMOVE (read, link);
      g_free (read);
    }
  while (!LIST_EMPTY (&cluster->late_appends))
    late_append_destroy (LIST_FIRST (&cluster->late_appends));
  store_faults_finish (cluster);
  g_hash_table_destroy (cluster->topics);
}

/* Returns a topic, creating it if it does not exist. */
static struct topic *
cluster_get_topic (struct cluster *cluster, const char *name)
{
  struct topic *topic = g_hash_table_lookup (cluster->topics, name);

  if (topic)
    return topic;
  topic = g_new0 (struct topic, 1);
  topic->records = g_ptr_array_new_with_free_func (record_destroy);
  topic->newest = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  topic->producers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_hash_table_insert (cluster->topics, g_strdup (name), topic);
  return topic;
}

/* Appends one record; an empty value deletes the key. */
static void
topic_append (struct topic *topic, const char *key, const void *value, size_t len)
{
  struct record *record = g_new (struct record, 1);

  record->key = g_strdup (key);
  record->value = g_bytes_new (value, len);
  g_ptr_array_add (topic->records, record);
  if (len == 0)
    g_hash_table_remove (topic->newest, key);
  else
    g_hash_table_replace (topic->newest, g_strdup (key), GUINT_TO_POINTER (topic->records->len));
}

/* Answers a read with the records from an offset on, up to the size that max_kb allows: the end
 * offset and the first offset, 8 bytes each, then for each record its length in 4 bytes, the length
 * of the key in 1 byte, key and value. The length of a record does not count its own 4 bytes;
 * numbers are big-endian. */
static void
read_answer (struct http_request *request, const struct store_port *port, const struct topic *topic,
             int64_t from)
{
  GByteArray *body = g_byte_array_new ();
  uint64_t end = GUINT64_TO_BE ((uint64_t) topic->records->len);
  uint64_t first = 0;
  const char *max_text = http_request_query (request, "max_kb");
  guint64 max_bytes =
      (max_text ? g_ascii_strtoull (max_text, NULL, 10) : READ_KB_MAX) * BYTES_PER_KB;
  struct http_response response = { .status = 200 };

  g_byte_array_append (body, (const guint8 *) &end, sizeof end);
  g_byte_array_append (body, (const guint8 *) &first, sizeof first);
  for (guint i = (guint) from; i < topic->records->len; i++)
    {
      const struct record *record = g_ptr_array_index (topic->records, i);
      guint8 key_len = (guint8) strlen (record->key);
      g_autoptr (GBytes) shown = store_port_show (port, record->key, record->value);
      gsize len;
      const void *value = g_bytes_get_data (shown, &len);
      uint32_t size = GUINT32_TO_BE ((uint32_t) (1 + key_len + len));

      if (i > (guint) from && body->len + sizeof size + 1 + key_len + len > max_bytes)
        break;
      g_byte_array_append (body, (const guint8 *) &size, sizeof size);
      g_byte_array_append (body, &key_len, 1);
      g_byte_array_append (body, (const guint8 *) record->key, key_len);
      g_byte_array_append (body, value, (guint) len);
    }
  response.body = body->data;
  response.body_len = body->len;
  http_request_respond (request, &response);
  g_byte_array_unref (body);
}

/* Appends the records in the body of an append request, in the format of read_answer without the
 * two offsets. Returns false if the body is malformed; the records before the fault are kept. */
static bool
topic_append_batch (struct topic *topic, const uint8_t *body, size_t len)
{
  size_t at = 0;

  while (at + LENGTH_BYTES < len)
    {
      uint32_t wire;
      size_t size;
      size_t key_len;
      g_autofree char *key = NULL;

      memcpy (&wire, body + at, sizeof wire);
      size = GUINT32_FROM_BE (wire);
      at += LENGTH_BYTES;
      if (size == 0 || size > len - at || 1 + (size_t) body[at] > size)
        return false;
      key_len = body[at];
      key = g_strndup ((const char *) body + at + 1, key_len);
      topic_append (topic, key, body + at + 1 + key_len, size - 1 - key_len);
      at += size;
    }
  return at == len;
}

/* Checks a producer's epoch and sequence. Returns 0 if the records should be appended; otherwise
 * the status of the response, with its body in *answer: an older epoch is rejected, a repetition of
 * one of the last appends gets that append's offset, and any other sequence is rejected with the
 * expected one. For a sequence ahead of the expected one, age wraps around to a large value. */
static int
producer_check (const struct topic *topic, const struct producer *producer,
                const struct append_call *call, json_t **answer)
{
  uint64_t age = producer->sequence - call->sequence;

  if (call->epoch < producer->epoch)
    {
      *answer = json_pack ("{s:s}", "reason", "fenced");
      return 409;
    }
  if (call->epoch > producer->epoch || producer->n_offsets == 0 ||
      call->sequence == producer->sequence + 1)
    return 0;
  if (age < producer->n_offsets)
    {
      *answer = json_pack ("{s:I,s:I}", "offset",
                           (json_int_t) producer->offsets[producer->n_offsets - 1 - age], "end",
                           (json_int_t) topic->records->len);
      return 200;
    }
  *answer =
      json_pack ("{s:s,s:I}", "reason", "seq", "sequence", (json_int_t) producer->sequence + 1);
  return 409;
}

/* Records a producer's append, to detect repetitions. */
static void
producer_record_append (struct producer *producer, uint64_t epoch, uint64_t sequence,
                        int64_t offset)
{
  if (epoch > producer->epoch)
    producer->n_offsets = 0;
  if (producer->n_offsets == PRODUCER_OFFSETS_MAX)
    memmove (producer->offsets, producer->offsets + 1,
             (PRODUCER_OFFSETS_MAX - 1) * sizeof *producer->offsets);
  else
    producer->n_offsets++;
  producer->offsets[producer->n_offsets - 1] = offset;
  producer->epoch = epoch;
  producer->sequence = sequence;
}

/* Returns the producer of an append, created if it is new; NULL if the append names none. */
static struct producer *
topic_get_producer (struct topic *topic, const struct append_call *call)
{
  struct producer *producer;

  if (!call->producer)
    return NULL;
  producer = g_hash_table_lookup (topic->producers, call->producer);
  if (!producer)
    {
      producer = g_new0 (struct producer, 1);
      g_hash_table_insert (topic->producers, g_strdup (call->producer), producer);
    }
  return producer;
}

/* Carries out an append, unless its producer's epoch and sequence forbid it or it is a repetition.
 * Returns the status of the response, with its body in *answer. */
static int
topic_append_call (struct topic *topic, const struct append_call *call, json_t **answer)
{
  struct producer *producer = topic_get_producer (topic, call);
  int64_t offset = topic->records->len;
  int status = producer ? producer_check (topic, producer, call, answer) : 0;

  if (status != 0)
    return status;
  if (!topic_append_batch (topic, call->body, call->len))
    {
      *answer = json_pack ("{s:s}", "error", "not a list of records");
      return 400;
    }
  if (producer)
    producer_record_append (producer, call->epoch, call->sequence, offset);
  *answer = json_pack ("{s:I,s:I}", "offset", (json_int_t) offset, "end",
                       (json_int_t) topic->records->len);
  return 200;
}

/* Keeps an append to carry it out later. */
static void
topic_append_later (struct cluster *cluster, struct topic *topic, const struct append_call *call,
                    int64_t delay_ms)
{
  struct late_append *late = g_new0 (struct late_append, 1);

  late->topic = topic;
  late->producer = g_strdup (call->producer);
  late->body = g_byte_array_new ();
  g_byte_array_append (late->body, call->body, (guint) call->len);
  late->call = *call;
  late->call.producer = late->producer;
  late->call.body = late->body->data;
  late->due_ms = cluster_now_ms (cluster) + delay_ms;
  LIST_INSERT_HEAD (&cluster->late_appends, late, link);
}

/* Returns whether an append was carried out before. In the mode STORE_LOSES_ACKS, a repetition of
 * an unacknowledged append isn't acknowledged either. */
static bool
append_is_repetition (struct topic *topic, const struct append_call *call)
{
  const struct producer *producer = topic_get_producer (topic, call);

  return producer && producer->epoch == call->epoch && producer->n_offsets > 0 &&
         producer->sequence >= call->sequence;
}

/* Closes the connections of all waiting reads, as a store process that ends does. */
static void
store_cut_reads (struct cluster *cluster)
{
  while (!LIST_EMPTY (&cluster->pending_reads))
    {
      struct pending_read *read = LIST_FIRST (&cluster->pending_reads);

      LIST_REMOVE (read, link);
      http_request_drop (read->request);
      g_free (read);
    }
}

/* Handles an append, with the fault that is drawn for it. */
static void
store_append_request (struct cluster *cluster, struct topic *topic, struct http_request *request)
{
  const char *epoch = http_request_query (request, "epoch");
  const char *sequence = http_request_query (request, "sequence");
  struct append_call call = {
    .producer = http_request_query (request, "producer"),
    .epoch = epoch ? g_ascii_strtoull (epoch, NULL, 10) : 0,
    .sequence = sequence ? g_ascii_strtoull (sequence, NULL, 10) : 0,
  };
  struct append_fault fault = store_faults_draw (cluster);
  bool loses_acks = cluster->store_faults.mode == STORE_LOSES_ACKS;
  json_t *answer = NULL;
  int status;

  if (cluster->store_faults.mode == STORE_IGNORES_APPENDS)
    return;
  call.body = http_request_body (request, &call.len);
  if (loses_acks && append_is_repetition (topic, &call))
    return;
  if (fault.kind == APPEND_LATE)
    topic_append_later (cluster, topic, &call, fault.delay_ms);
  if (fault.kind == APPEND_LATE || fault.kind == APPEND_DROPPED)
    {
      http_request_drop (request);
      return;
    }
  status = topic_append_call (topic, &call, &answer);
  if (fault.kind == APPEND_ANSWERED && !(loses_acks && status == 200))
    {
      http_request_respond_json (request, status, answer);
      return;
    }
  json_decref (answer);
  if (fault.kind == APPEND_CUT)
    {
      http_request_drop (request);
      store_cut_reads (cluster);
    }
  else if (fault.kind == APPEND_GATEWAY)
    http_request_respond_json (request, fault.status, json_pack ("{s:s}", "error", "gateway"));
}

/* Carries out the late appends that are due. */
static void
store_carry_out_late_appends (struct cluster *cluster)
{
  struct late_append *late = LIST_FIRST (&cluster->late_appends);
  int64_t now_ms = cluster_now_ms (cluster);

  while (late)
    {
      struct late_append *next = LIST_NEXT (late, link);
      json_t *answer = NULL;

      if (now_ms >= late->due_ms)
        {
          topic_append_call (late->topic, &late->call, &answer);
          json_decref (answer);
          late_append_destroy (late);
        }
      late = next;
    }
}

/* Returns whether calls of the host of a port are answered. */
static bool
store_port_responds (const struct store_port *port)
{
  return !port || port->mode == STORE_UP;
}

/* Carries out late appends, and answers the waiting reads that have a record to return and those
 * whose wait time is over. Reads stay pending while the store is busy or unresponsive. */
void
cluster_store_tick (struct cluster *cluster)
{
  struct pending_read *read = LIST_FIRST (&cluster->pending_reads);
  int64_t now_ms = cluster_now_ms (cluster);

  store_carry_out_late_appends (cluster);
  if (store_busy_status (cluster) != 0 || cluster->store_faults.mode == STORE_UNRESPONSIVE)
    return;
  while (read)
    {
      struct pending_read *next = LIST_NEXT (read, link);

      if (store_port_responds (read->port) &&
          ((int64_t) read->topic->records->len > read->from || now_ms >= read->end_ms))
        {
          LIST_REMOVE (read, link);
          read_answer (read->request, read->port, read->topic, read->from);
          g_free (read);
        }
      read = next;
    }
}

/* Handles a read. If there are no records from the offset on, it waits for one. */
static void
store_read_request (struct cluster *cluster, struct topic *topic, struct http_request *request,
                    const struct store_port *port)
{
  const char *from_text = http_request_query (request, "from");
  const char *wait_text = http_request_query (request, "wait_ms");
  int64_t from = from_text ? g_ascii_strtoll (from_text, NULL, 10) : 0;
  int64_t wait_ms = wait_text ? g_ascii_strtoll (wait_text, NULL, 10) : 0;
  struct pending_read *read;

  if (from < (int64_t) topic->records->len || wait_ms == 0)
    {
      read_answer (request, port, topic, from);
      return;
    }
  read = g_new0 (struct pending_read, 1);
  read->request = request;
  read->port = port;
  read->topic = topic;
  read->from = from;
  read->end_ms = cluster_now_ms (cluster) + wait_ms;
  http_request_set_data (request, read);
  LIST_INSERT_HEAD (&cluster->pending_reads, read, link);
}

/* Answers with the newest record of each key, in pages sorted by key. The parameter depends_on is
 * the last key of the previous page. */
static void
store_newest_request (struct topic *topic, struct http_request *request,
                      const struct store_port *port)
{
  const char *after = http_request_query (request, "depends_on");
  GList *keys = g_list_sort (g_hash_table_get_keys (topic->newest), (GCompareFunc) strcmp);
  json_t *items = json_array ();
  bool more = false;

  for (GList *each = keys; each; each = each->next)
    {
      guint at = GPOINTER_TO_UINT (g_hash_table_lookup (topic->newest, each->data)) - 1;
      const struct record *record = g_ptr_array_index (topic->records, at);
      g_autoptr (GBytes) shown = store_port_show (port, record->key, record->value);
      gsize len;
      const guchar *value = g_bytes_get_data (shown, &len);
      g_autofree char *text = NULL;

      if (after && strcmp (each->data, after) <= 0)
        continue;
      if (json_array_size (items) == PAGE_ITEMS_MAX)
        {
          more = true;
          break;
        }
      text = g_base64_encode (value, len);
      json_array_append_new (items, json_pack ("{s:s,s:s,s:I}", "key", each->data, "value", text,
                                               "offset", (json_int_t) at));
    }
  g_list_free (keys);
  http_request_respond_json (request, 200,
                             json_pack ("{s:o,s:b,s:I}", "items", items, "has_more", more, "end",
                                        (json_int_t) topic->records->len));
}

void
cluster_store_handle (struct cluster *cluster, struct http_request *request,
                      const struct store_port *port)
{
  const char *path = http_request_path (request);
  const char *name = http_request_query (request, "topic");
  int busy_status = store_busy_status (cluster);
  struct topic *topic;

  http_request_set_data (request, NULL);
  if (cluster->store_faults.mode == STORE_UNRESPONSIVE ||
      (port && port->mode == STORE_UNRESPONSIVE))
    return;
  if (port && port->mode == STORE_BUSY)
    busy_status = 503;
  if (busy_status != 0 || !name)
    {
      http_request_respond_json (request, name ? busy_status : 400,
                                 json_pack ("{s:s}", "error", "refused"));
      return;
    }
  topic = cluster_get_topic (cluster, name);
  if (g_str_has_prefix (path, "/v1/log-append"))
    store_append_request (cluster, topic, request);
  else if (g_str_has_prefix (path, "/v1/log-read"))
    store_read_request (cluster, topic, request, port);
  else if (g_str_has_prefix (path, "/v1/log-newest"))
    store_newest_request (topic, request, port);
  else
    http_request_respond_json (request, 404, json_pack ("{s:s}", "error", "no such call"));
}

/* Drops a waiting read whose caller has disconnected. */
void
cluster_store_disconnected (void *ctx, struct http_request *request)
{
  struct pending_read *read = http_request_data (request);

  (void) ctx;
  if (!read)
    return;
  LIST_REMOVE (read, link);
  g_free (read);
}

void
cluster_store_put (struct cluster *cluster, const char *topic, const char *key, const char *value)
{
  topic_append (cluster_get_topic (cluster, topic), key, value, value ? strlen (value) : 0);
}

char *
cluster_store_get (struct cluster *cluster, const char *topic, const char *key)
{
  struct topic *found = cluster_get_topic (cluster, topic);
  guint at = GPOINTER_TO_UINT (g_hash_table_lookup (found->newest, key));
  const struct record *record;
  gsize len;
  const char *value;

  if (at == 0)
    return NULL;
  record = g_ptr_array_index (found->records, at - 1);
  value = g_bytes_get_data (record->value, &len);
  return g_strndup (value, len);
}
