#include "scripted_store.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  BACKLOG = 512,
  READ_BYTES = 16384,
  LATE_MS = 300,
  MS_PER_S = 1000,
  LENGTH_BYTES = 4,
};

struct connection
{
  LIST_ENTRY (connection) link;
  struct scripted_store *store;
  ev_io readable;
  GByteArray *received;
};

/* An append as it was received. */
struct append
{
  LIST_ENTRY (append) link;
  struct scripted_topic *topic;
  uint64_t epoch;
  uint64_t sequence;
  GBytes *body;
  /* Carries the append out later. */
  ev_timer timer;
  struct scripted_store *store;
};

struct scripted_store
{
  struct ev_loop *loop;
  ev_io acceptable;
  LIST_HEAD (, connection) connections;
  LIST_HEAD (, append) late;
  GHashTable *topics;
};

static void
topic_destroy (gpointer data)
{
  struct scripted_topic *topic = data;

  g_ptr_array_free (topic->records, TRUE);
  g_free (topic);
}

static void
append_destroy (struct append *append)
{
  g_bytes_unref (append->body);
  g_free (append);
}

static void
connection_destroy (struct connection *connection)
{
  ev_io_stop (connection->store->loop, &connection->readable);
  LIST_REMOVE (connection, link);
  close (connection->readable.fd);
  g_byte_array_unref (connection->received);
  g_free (connection);
}

/* Stores the values of the records in an append's body. */
static void
topic_add_records (struct scripted_topic *topic, GBytes *body)
{
  gsize len;
  const uint8_t *data = g_bytes_get_data (body, &len);
  gsize at = 0;

  while (at + LENGTH_BYTES < len)
    {
      uint32_t wire;
      uint32_t size;
      uint8_t key_len = data[at + LENGTH_BYTES];

      memcpy (&wire, data + at, sizeof wire);
      size = GUINT32_FROM_BE (wire);
      at += LENGTH_BYTES;
      g_ptr_array_add (topic->records,
                       g_strndup ((const char *) data + at + 1 + key_len, size - 1 - key_len));
      at += size;
    }
}

/* Carries an append out by the protocol's rules. Returns the status and, in body, the response. */
static int
append_carry_out (const struct append *append, char *body, size_t size)
{
  struct scripted_topic *topic = append->topic;
  uint64_t age = topic->sequence - append->sequence;
  int64_t offset = topic->records->len;

  if (append->epoch < topic->epoch)
    {
      snprintf (body, size, "{\"reason\":\"fenced\"}");
      return 409;
    }
  if (append->epoch == topic->epoch && topic->n_offsets > 0 &&
      append->sequence != topic->sequence + 1)
    {
      if (age < topic->n_offsets)
        {
          snprintf (body, size, "{\"offset\":%" G_GINT64_FORMAT ",\"end\":%u}",
                    topic->offsets[topic->n_offsets - 1 - age], topic->records->len);
          return 200;
        }
      snprintf (body, size, "{\"reason\":\"seq\",\"sequence\":%" G_GUINT64_FORMAT "}",
                topic->sequence + 1);
      return 409;
    }
  if (append->epoch > topic->epoch)
    topic->n_offsets = 0;
  if (topic->n_offsets == G_N_ELEMENTS (topic->offsets))
    memmove (topic->offsets, topic->offsets + 1, sizeof topic->offsets - sizeof topic->offsets[0]);
  else
    topic->n_offsets++;
  topic->offsets[topic->n_offsets - 1] = offset;
  topic->epoch = append->epoch;
  topic->sequence = append->sequence;
  topic_add_records (topic, append->body);
  snprintf (body, size, "{\"offset\":%" G_GINT64_FORMAT ",\"end\":%u}", offset,
            topic->records->len);
  return 200;
}

/* Carries an append out that has lost its connection. */
static void
append_on_late (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct append *append = timer->data;
  char body[128];

  (void) loop;
  (void) events;
  append_carry_out (append, body, sizeof body);
  append->topic->n_late--;
  LIST_REMOVE (append, link);
  append_destroy (append);
}

/* Takes over the append and carries it out later. */
static void
append_delay (struct scripted_store *store, struct append *append)
{
  append->store = store;
  append->topic->n_late++;
  LIST_INSERT_HEAD (&store->late, append, link);
  ev_timer_init (&append->timer, append_on_late, (double) LATE_MS / MS_PER_S, 0.0);
  append->timer.data = append;
  ev_timer_start (store->loop, &append->timer);
}

static void
connection_respond (struct connection *connection, int status, const char *body)
{
  g_autofree char *response = g_strdup_printf ("HTTP/1.1 %d x\r\nContent-Length: %zu\r\n\r\n%s",
                                               status, strlen (body), body);

  if (send (connection->readable.fd, response, strlen (response), MSG_NOSIGNAL) < 0)
    perror ("send");
}

/* Makes the peer see a reset when the connection is closed. */
static void
connection_set_reset (struct connection *connection)
{
  struct linger linger = { .l_onoff = 1 };

  setsockopt (connection->readable.fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
}

/* Returns the status of a response; status is the one that follows from the protocol. */
static int
behaviour_status (enum store_behaviour behaviour, int status)
{
  switch (behaviour)
    {
    case BEHAVIOUR_BAD_GATEWAY:
      return 502;
    case BEHAVIOUR_UNAVAILABLE_DONE:
      return 503;
    case BEHAVIOUR_MALFORMED:
      return 400;
    case BEHAVIOUR_OTHER_CONFLICT:
      return 409;
    case BEHAVIOUR_GONE:
      return 410;
    case BEHAVIOUR_EMPTY_RESPONSE:
      return 200;
    default:
      return status;
    }
}

/* Treats an append, which it takes over, as the script says. Returns whether the connection stays
 * open. */
static bool
connection_handle_append (struct connection *connection, struct append *append)
{
  struct scripted_topic *topic = append->topic;
  enum store_behaviour behaviour =
      topic->n_appends < topic->script_len ? topic->script[topic->n_appends] : BEHAVIOUR_RESPOND;
  bool late = behaviour == BEHAVIOUR_CLOSE_LATE || behaviour == BEHAVIOUR_SILENT_LATE ||
              behaviour == BEHAVIOUR_UNAVAILABLE_LATE;
  bool never = behaviour == BEHAVIOUR_CLOSE_NOT_DONE || behaviour == BEHAVIOUR_UNAVAILABLE ||
               behaviour >= BEHAVIOUR_MALFORMED;
  bool silent = behaviour == BEHAVIOUR_SILENT_DONE || behaviour == BEHAVIOUR_SILENT_LATE;
  bool closes = behaviour == BEHAVIOUR_CLOSE_DONE || behaviour == BEHAVIOUR_RESET_DONE ||
                behaviour == BEHAVIOUR_CLOSE_NOT_DONE || behaviour == BEHAVIOUR_CLOSE_LATE;
  char body[128] = "{}";
  int status = 503;

  topic->n_appends++;
  if (late)
    append_delay (connection->store, append);
  else
    {
      if (!never)
        status = append_carry_out (append, body, sizeof body);
      append_destroy (append);
    }
  if (silent)
    return true;
  if (behaviour == BEHAVIOUR_RESET_DONE)
    connection_set_reset (connection);
  if (closes)
    return false;
  connection_respond (connection, behaviour_status (behaviour, status), body);
  return true;
}

/* Returns the value of a query parameter in a request head; free with g_free. */
static char *
head_parameter (const char *head, const char *name)
{
  g_autofree char *key = g_strdup_printf ("%s=", name);
  const char *at = strstr (head, key);

  return at ? g_strndup (at + strlen (key), strcspn (at + strlen (key), "& ")) : g_strdup ("");
}

/* Parses a complete request at the start of the received bytes and removes it. Returns NULL if it
 * is not complete. */
static struct append *
connection_take_append (struct connection *connection)
{
  static const char length_header[] = "Content-Length: ";
  g_autofree char *head =
      g_strndup ((const char *) connection->received->data, connection->received->len);
  char *end = strstr (head, "\r\n\r\n");
  const char *length;
  guint head_len;
  guint body_len;
  struct append *append;

  if (!end)
    return NULL;
  head_len = (guint) (end + 4 - head);
  *end = '\0';
  length = strstr (head, length_header);
  body_len = length ? (guint) g_ascii_strtoull (length + strlen (length_header), NULL, 10) : 0;
  if (connection->received->len < head_len + body_len)
    return NULL;
  g_autofree char *topic = head_parameter (head, "topic");
  g_autofree char *epoch = head_parameter (head, "epoch");
  g_autofree char *sequence = head_parameter (head, "sequence");
  append = g_new0 (struct append, 1);
  append->topic = g_hash_table_lookup (connection->store->topics, topic);
  append->epoch = g_ascii_strtoull (epoch, NULL, 10);
  append->sequence = g_ascii_strtoull (sequence, NULL, 10);
  append->body = g_bytes_new (connection->received->data + head_len, body_len);
  g_byte_array_remove_range (connection->received, 0, head_len + body_len);
  return append;
}

static void
connection_on_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct connection *connection = watcher->data;
  uint8_t bytes[READ_BYTES];
  ssize_t len = recv (watcher->fd, bytes, sizeof bytes, 0);
  struct append *append;

  (void) loop;
  (void) events;
  if (len <= 0)
    {
      connection_destroy (connection);
      return;
    }
  g_byte_array_append (connection->received, bytes, (guint) len);
  while ((append = connection_take_append (connection)))
    {
      if (!connection_handle_append (connection, append))
        {
          connection_destroy (connection);
          return;
        }
    }
}

static void
store_on_acceptable (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct scripted_store *store = watcher->data;
  int fd = accept (watcher->fd, NULL, NULL);
  struct connection *connection;

  (void) events;
  if (fd < 0)
    return;
  connection = g_new0 (struct connection, 1);
  connection->store = store;
  connection->received = g_byte_array_new ();
  ev_io_init (&connection->readable, connection_on_readable, fd, EV_READ);
  connection->readable.data = connection;
  ev_io_start (loop, &connection->readable);
  LIST_INSERT_HEAD (&store->connections, connection, link);
}

struct scripted_store *
scripted_store_create (struct ev_loop *loop, uint16_t port)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons (port) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  int on = 1;
  struct scripted_store *store;

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *) &address, sizeof address) != 0 || listen (fd, BACKLOG) != 0 ||
      fcntl (fd, F_SETFL, O_NONBLOCK) != 0)
    {
      perror ("scripted store");
      close (fd);
      return NULL;
    }
  store = g_new0 (struct scripted_store, 1);
  store->loop = loop;
  LIST_INIT (&store->connections);
  LIST_INIT (&store->late);
  store->topics = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, topic_destroy);
  ev_io_init (&store->acceptable, store_on_acceptable, fd, EV_READ);
  store->acceptable.data = store;
  ev_io_start (loop, &store->acceptable);
  return store;
}

void
scripted_store_destroy (struct scripted_store *store)
{
  while (!LIST_EMPTY (&store->connections))
    connection_destroy (LIST_FIRST (&store->connections));
  while (!LIST_EMPTY (&store->late))
    {
      struct append *append = LIST_FIRST (&store->late);

      ev_timer_stop (store->loop, &append->timer);
      LIST_REMOVE (append, link);
      append_destroy (append);
    }
  ev_io_stop (store->loop, &store->acceptable);
  close (store->acceptable.fd);
  g_hash_table_destroy (store->topics);
  g_free (store);
}

struct scripted_topic *
scripted_store_add (struct scripted_store *store, const char *name,
                    const enum store_behaviour *script, unsigned script_len)
{
  struct scripted_topic *topic = g_new0 (struct scripted_topic, 1);

  topic->script = script;
  topic->script_len = script_len;
  topic->records = g_ptr_array_new_with_free_func (g_free);
  g_hash_table_insert (store->topics, g_strdup (name), topic);
  return topic;
}
