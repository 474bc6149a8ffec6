#include <errno.h>
#include <string.h>

#include "common/log.h"
#include "common/peer_socket.h"
#include "common/settings.h"
#include "entry.h"

/* Another entry host. */
struct peer
{
  char *name;
  struct peer_link *link;
  LIST_ENTRY (peer) list_entry;
};

LIST_HEAD (peer_list, peer);

struct peers
{
  struct entry *entry;
  struct peer_node *node;
  struct peer_list list;
};

/* Parses NAME=IP:PORT. Returns false if the string has another form. */
static bool
peer_parse (const char *text, char **name, char ip[64], uint16_t *port)
{
  const char *equals = strchr (text, '=');

  if (!equals || equals == text || settings_parse_endpoint (equals + 1, ip, port) < 0)
    return false;
  *name = g_strndup (text, (gsize) (equals - text));
  return true;
}

/* Returns the names of all entry hosts, this host first. Free with g_strfreev. */
char **
peers_members (const Sp__EntrydSettings *settings)
{
  g_auto (GStrv) list = settings_split_list (settings->peers);
  GPtrArray *names = g_ptr_array_new ();

  g_ptr_array_add (names, g_strdup (settings->name));
  for (size_t i = 0; list[i]; i++)
    g_ptr_array_add (names, g_strndup (list[i], strcspn (list[i], "=")));
  g_ptr_array_add (names, NULL);
  return (char **) g_ptr_array_free (names, FALSE);
}

/* Passes a message from another entry host to the dispatcher. */
static void
peers_on_message (void *ctx, const void *reply_to, size_t reply_to_len, const void *data,
                  size_t len)
{
  struct peers *peers = ctx;
  Sp__PeerMessage *message = sp__peer_message__unpack (NULL, len, data);

  (void) reply_to;
  (void) reply_to_len;
  if (!message)
    {
      log_warning ("peers", "Ignored a message from an entry host: it is not a valid PeerMessage.");
      return;
    }
  dispatch_peer_message (peers->entry->dispatch, message, entry_now_ms (peers->entry));
  sp__peer_message__free_unpacked (message, NULL);
}

/* Opens a link to each configured peer. Returns false after logging an error if an entry is
 * invalid. */
static bool
peers_connect (struct peers *peers)
{
  g_auto (GStrv) list = settings_split_list (peers->entry->settings->peers);

  for (size_t i = 0; list[i]; i++)
    {
      struct peer *peer = g_new0 (struct peer, 1);
      char ip[64];
      uint16_t port;

      if (!peer_parse (list[i], &peer->name, ip, &port))
        {
          log_error ("peers", "Invalid setting peers: \"%s\" is not NAME=IP:PORT.", list[i]);
          g_free (peer);
          return false;
        }
      peer->link = peer_link_create (peers->node, ip, port, NULL, NULL);
      LIST_INSERT_HEAD (&peers->list, peer, list_entry);
    }
  return true;
}

/* Opens the sockets between entry hosts. Returns 0, or logs an error and returns a negative error
 * number. */
int
peers_create (struct entry *entry)
{
  const Sp__EntrydSettings *settings = entry->settings;
  struct peers *peers = g_new0 (struct peers, 1);
  struct peer_node_config config = {
    .address = settings->listen_address,
    .port = (uint16_t) settings->peer_port,
    .public_key = settings->peer_public_key,
    .secret_key = settings->peer_secret_key,
    .inbound_received = peers_on_message,
    .ctx = peers,
  };

  peers->entry = entry;
  LIST_INIT (&peers->list);
  peers->node = peer_node_create (entry->loop, &config);
  if (!peers->node)
    {
      int error = -errno;

      log_error ("peers", "Cannot listen on %s:%u for other entry hosts: %s.",
                 settings->listen_address, settings->peer_port,
                 error == -EINVAL ? "the configured keys are not a valid key pair"
                                  : g_strerror (-error));
      g_free (peers);
      return error;
    }
  if (!peers_connect (peers))
    {
      peers_destroy (peers);
      return -EINVAL;
    }
  entry->peers = peers;
  return 0;
}

void
peers_destroy (struct peers *peers)
{
  struct peer *peer = LIST_FIRST (&peers->list);

  peer_node_destroy (peers->node);
  while (peer)
    {
      struct peer *next = LIST_NEXT (peer, list_entry);

      g_free (peer->name);
      g_free (peer);
      peer = next;
    }
  g_free (peers);
}

/* Returns the peer with a name, or NULL. */
static struct peer *
peers_find (const struct peers *peers, const char *name)
{
  struct peer *peer;

  LIST_FOREACH (peer, &peers->list, list_entry)
    {
      if (strcmp (peer->name, name) == 0)
        return peer;
    }
  return NULL;
}

/* Sends a message to the entry host with that name. It is dropped if the peer is unknown, its queue
 * is full or the connection is down. */
void
peers_send (void *ctx, const char *member, const Sp__PeerMessage *message)
{
  struct entry *entry = ctx;
  struct peer *peer = entry->peers ? peers_find (entry->peers, member) : NULL;
  size_t len = sp__peer_message__get_packed_size (message);
  uint8_t *data = g_malloc (len);

  sp__peer_message__pack (message, data);
  if (peer && peer_link_send (peer->link, data, len) == 0)
    entry->stats.peer_sent++;
  else
    entry->stats.peer_dropped++;
  g_free (data);
}
