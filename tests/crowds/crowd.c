#include "crowd.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "process.h"

enum
{
  EVENTS_MAX = 256,
  EPOLL_WAIT_MS = 20,
  SAMPLE_INTERVAL_MS = 50,
  QUIET_MS = 500,
  SETTLE_LIMIT_MS = 60000,
  BYTES_PER_KB = 1024,
  RECEIVE_BUFFER_BYTES = 4096,
  /* Sends of one client in a row. */
  SENDS_MAX = 4,
};

struct crowd_client
{
  struct crowd *crowd;
  unsigned number;
  int fd;
  char *head;
  size_t head_len;
  /* Bytes of head and body that have been sent. */
  size_t n_sent;
};

struct crowd
{
  struct crowd_config config;
  pid_t process;
  GThread *thread;
  int epoll_fd;
  struct crowd_client *clients;
  struct crowd_usage usage;
  /* Shared with the thread. */
  gint stopping;
  gint n_open;
  gint64 progress_ms;
  GMutex lock;
};

/* Notes that a client has sent bytes, or has connected anew. */
static void
crowd_note_progress (struct crowd *crowd)
{
  g_mutex_lock (&crowd->lock);
  crowd->progress_ms = test_now_ms ();
  g_mutex_unlock (&crowd->lock);
}

static size_t
crowd_body_len (const struct crowd *crowd)
{
  return crowd->config.body ? crowd->config.body->len : 0;
}

/* Sends the next bytes of a client. Returns whether there may be more to send at once. */
static bool
client_send (struct crowd_client *client)
{
  const struct crowd *crowd = client->crowd;
  const void *bytes;
  size_t left;
  ssize_t n;

  if (client->n_sent < client->head_len)
    {
      bytes = client->head + client->n_sent;
      left = client->head_len - client->n_sent;
    }
  else
    {
      size_t at = client->n_sent - client->head_len;

      left = crowd_body_len (crowd) - at;
      if (left == 0)
        return false;
      bytes = crowd->config.body->data + at;
    }
  n = send (client->fd, bytes, left, MSG_NOSIGNAL | MSG_DONTWAIT);
  if (n <= 0)
    return false;
  client->n_sent += (size_t) n;
  crowd_note_progress (client->crowd);
  return true;
}

/* Opens a client's connection. */
static void
client_connect (struct crowd_client *client)
{
  struct crowd *crowd = client->crowd;
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons (crowd->config.port) };
  struct epoll_event event = { .events = EPOLLOUT | EPOLLRDHUP | EPOLLET, .data.ptr = client };

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  client->n_sent = 0;
  client->fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (client->fd < 0)
    {
      perror ("socket");
      abort ();
    }
  /* Responses that aren't read must not vanish in the kernel's buffers. */
  setsockopt (client->fd, SOL_SOCKET, SO_RCVBUF, &(int){ RECEIVE_BUFFER_BYTES }, sizeof (int));
  if (connect (client->fd, (struct sockaddr *) &address, sizeof address) < 0 &&
      errno != EINPROGRESS)
    {
      close (client->fd);
      client->fd = -1;
      return;
    }
  epoll_ctl (crowd->epoll_fd, EPOLL_CTL_ADD, client->fd, &event);
  g_atomic_int_inc (&crowd->n_open);
  crowd_note_progress (crowd);
}

static void
client_close (struct crowd_client *client)
{
  if (client->fd < 0)
    return;
  close (client->fd);
  client->fd = -1;
  g_atomic_int_add (&client->crowd->n_open, -1);
}

/* Returns the bytes that the kernel holds unread for a port's connections. */
static int64_t
unread_bytes (uint16_t port)
{
  FILE *file = fopen ("/proc/net/tcp", "re");
  char line[256];
  int64_t sum = 0;

  while (file && fgets (line, sizeof line, file))
    {
      unsigned local;
      unsigned state;
      unsigned received;

      if (sscanf (line, " %*u: %*8x:%4x %*8x:%*4x %2x %*8x:%8x", &local, &state, &received) == 3 &&
          local == port && state == 1)
        sum += received;
    }
  if (file)
    fclose (file);
  return sum;
}

/* Returns a line of a process's status in bytes, 0 if the process has ended. */
static int64_t
process_status_bytes (pid_t process, const char *name)
{
  g_autofree char *path = g_strdup_printf ("/proc/%d/status", (int) process);
  g_autofree char *text = NULL;
  const char *line;

  if (!g_file_get_contents (path, &text, NULL, NULL))
    return 0;
  line = strstr (text, name);
  return line ? g_ascii_strtoll (line + strlen (name), NULL, 10) * BYTES_PER_KB : 0;
}

static unsigned
process_descriptors (pid_t process)
{
  g_autofree char *path = g_strdup_printf ("/proc/%d/fd", (int) process);
  GDir *dir = g_dir_open (path, 0, NULL);
  unsigned n = 0;

  while (dir && g_dir_read_name (dir))
    n++;
  if (dir)
    g_dir_close (dir);
  return n;
}

static void
crowd_sample (struct crowd *crowd)
{
  struct crowd_usage *usage = &crowd->usage;
  int64_t resident = process_status_bytes (crowd->process, "VmRSS:");

  usage->peak_bytes = MAX (usage->peak_bytes, process_status_bytes (crowd->process, "VmHWM:"));
  usage->peak_with_unread_bytes =
      MAX (usage->peak_with_unread_bytes, resident + unread_bytes (crowd->config.port));
  usage->descriptors = MAX (usage->descriptors, process_descriptors (crowd->process));
}

/* Handles what happened to a client's connection. */
static void
client_on_event (struct crowd_client *client, uint32_t events)
{
  if (events & (EPOLLERR | EPOLLHUP | EPOLLRDHUP))
    {
      client_close (client);
      if (client->crowd->config.reconnects)
        client_connect (client);
      return;
    }
  for (int i = 0; i < SENDS_MAX && client_send (client); i++)
    ;
}

/* Sends what can be sent for each client whose socket was full, as events are edge-triggered. */
static void
crowd_send_rest (struct crowd *crowd)
{
  for (unsigned i = 0; i < crowd->config.n_clients; i++)
    {
      if (crowd->clients[i].fd >= 0)
        client_send (&crowd->clients[i]);
      else if (crowd->config.reconnects)
        client_connect (&crowd->clients[i]);
    }
}

static void *
crowd_run (void *data)
{
  struct crowd *crowd = data;
  struct epoll_event events[EVENTS_MAX];
  int64_t sampled_ms = 0;

  while (!g_atomic_int_get (&crowd->stopping))
    {
      int n = epoll_wait (crowd->epoll_fd, events, EVENTS_MAX, EPOLL_WAIT_MS);

      for (int i = 0; i < n; i++)
        client_on_event (events[i].data.ptr, events[i].events);
      crowd_send_rest (crowd);
      if (test_now_ms () - sampled_ms >= SAMPLE_INTERVAL_MS)
        {
          sampled_ms = test_now_ms ();
          crowd_sample (crowd);
        }
    }
  return NULL;
}

/* Lets this process open a connection for each client. */
static void
raise_descriptor_limit (void)
{
  struct rlimit limit;

  getrlimit (RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  setrlimit (RLIMIT_NOFILE, &limit);
}

struct crowd *
crowd_create (const struct crowd_config *config, pid_t process)
{
  struct crowd *crowd = g_new0 (struct crowd, 1);

  raise_descriptor_limit ();
  crowd->config = *config;
  crowd->process = process;
  crowd->epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  crowd->clients = g_new0 (struct crowd_client, config->n_clients);
  g_mutex_init (&crowd->lock);
  for (unsigned i = 0; i < config->n_clients; i++)
    {
      struct crowd_client *client = &crowd->clients[i];

      client->crowd = crowd;
      client->number = i;
      if (config->method)
        client->head = g_strdup_printf ("%s %s%016x HTTP/1.1\r\n%s%s", config->method, config->path,
                                        i + 1, config->headers, config->body ? "\r\n" : "");
      client->head_len = client->head ? strlen (client->head) : 0;
      client_connect (client);
    }
  crowd->thread = g_thread_new ("crowd", crowd_run, crowd);
  return crowd;
}

unsigned
crowd_settle (struct crowd *crowd)
{
  int64_t end_ms = test_now_ms () + SETTLE_LIMIT_MS;
  int64_t quiet_ms = 0;

  while (quiet_ms < QUIET_MS && test_now_ms () < end_ms)
    {
      test_sleep_ms (EPOLL_WAIT_MS);
      g_mutex_lock (&crowd->lock);
      quiet_ms = test_now_ms () - crowd->progress_ms;
      g_mutex_unlock (&crowd->lock);
    }
  return (unsigned) g_atomic_int_get (&crowd->n_open);
}

struct crowd_usage
crowd_destroy (struct crowd *crowd)
{
  struct crowd_usage usage;

  g_atomic_int_set (&crowd->stopping, 1);
  g_thread_join (crowd->thread);
  crowd_sample (crowd);
  usage = crowd->usage;
  for (unsigned i = 0; i < crowd->config.n_clients; i++)
    {
      client_close (&crowd->clients[i]);
      g_free (crowd->clients[i].head);
    }
  close (crowd->epoll_fd);
  g_mutex_clear (&crowd->lock);
  g_free (crowd->clients);
  g_free (crowd);
  return usage;
}

GByteArray *
crowd_chunks (const void *data, size_t len, size_t chunk_len)
{
  GByteArray *chunks = g_byte_array_new ();

  for (size_t at = 0; at < len; at += chunk_len)
    {
      size_t n = MIN (chunk_len, len - at);
      char line[32];

      snprintf (line, sizeof line, "%zx\r\n", n);
      g_byte_array_append (chunks, (const guint8 *) line, (guint) strlen (line));
      g_byte_array_append (chunks, (const guint8 *) data + at, (guint) n);
      g_byte_array_append (chunks, (const guint8 *) "\r\n", 2);
    }
  return chunks;
}

GByteArray *
crowd_repeated (const char *text, size_t len)
{
  GByteArray *bytes = g_byte_array_new ();
  size_t text_len = strlen (text);

  while (bytes->len + text_len <= len)
    g_byte_array_append (bytes, (const guint8 *) text, (guint) text_len);
  return bytes;
}
